#include "bergamot/base/address.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

struct AddressCase
{
    std::string text;
    std::optional<Address> expected;
};

class ParseAddress : public testing::TestWithParam<AddressCase>
{ };

TEST_P(ParseAddress, parsesOrQuotesTheInputInTheError)
{
    const Result<Address> address = parseAddress(GetParam().text);
    ASSERT_EQ(address.has_value(), GetParam().expected.has_value());
    if (address) {
        EXPECT_EQ(*address, *GetParam().expected);
        EXPECT_EQ(toString(*address), GetParam().text);
    } else {
        EXPECT_EQ(address.error().code, ErrorCode::InvalidArgument);
        EXPECT_NE(address.error().message.find(GetParam().text), std::string::npos);
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ParseAddress,
                         testing::Values(AddressCase{"127.0.0.1:8080", Address{"127.0.0.1", 8080}},
                                         AddressCase{"10.1.2.3:0", Address{"10.1.2.3", 0}},
                                         AddressCase{"localhost:80", std::nullopt},
                                         AddressCase{"127.0.0.1", std::nullopt},
                                         AddressCase{"127.0.0.1:", std::nullopt},
                                         AddressCase{"127.0.0.1:70000", std::nullopt},
                                         AddressCase{"127.0.0.1:80x", std::nullopt},
                                         AddressCase{"", std::nullopt}));

} // namespace
} // namespace bergamot
