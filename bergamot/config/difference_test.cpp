#include "bergamot/config/difference.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

Configuration exampleConfiguration()
{
    Configuration configuration;
    configuration.version = 3;
    configuration.models[ModelId("b")] = {.model = ModelId("b"), .version = 1};
    configuration.models[ModelId("c")] = {.model = ModelId("c"), .version = 1};
    configuration.services[ServiceId("s")].service = ServiceId("s");
    return configuration;
}

TEST(Difference, ignoresTheVersionAndOffsetOfConfigurations)
{
    Configuration other = exampleConfiguration();
    other.version = 9;
    other.offset = 9;
    EXPECT_TRUE(difference(exampleConfiguration(), other).empty());
}

TEST(Difference, listsAddedChangedAndRemovedByKindAndName)
{
    Configuration after = exampleConfiguration();
    after.domains = {FailureDomainId("north")};
    after.models.erase(ModelId("c"));
    after.models[ModelId("a")] = {.model = ModelId("a")};
    after.models[ModelId("b")].version = 2;
    const std::vector<ConfigurationChange> changes = difference(exampleConfiguration(), after);
    std::vector<std::string> names;
    names.reserve(changes.size());
    for (const ConfigurationChange &change : changes) {
        names.push_back(change.kind + " " + change.name);
    }
    EXPECT_EQ(names, (std::vector<std::string>{"domains ", "model a", "model b", "model c"}));
    EXPECT_TRUE(changes[1].from.is_null());
    EXPECT_EQ(changes[2].to.at("version").as_integer(), 2);
    EXPECT_TRUE(changes[3].to.is_null());
}

} // namespace
} // namespace bergamot
