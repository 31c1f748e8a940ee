#include "bergamot/control/watched_appender.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

class FixedAppender final : public Appender
{
public:
    explicit FixedAppender(Result<Offset> answer)
        : m_answer(std::move(answer))
    { }

    RecordId append(const std::string &, std::string, std::string, Callback<Offset> done) override
    {
        done(m_answer);
        return {"w", 1, 7};
    }

private:
    Result<Offset> m_answer;
};

TEST(WatchedAppender, tellsOfWhatLandedBeforeTheCallerHears)
{
    FixedAppender log(Offset{12});
    std::vector<std::string> events;
    WatchedAppender appender(log, [&events](const std::string &stream, Offset offset) {
        events.push_back(stream + std::to_string(offset));
    });
    const RecordId id = appender.append("config", "k", "{}", [&events](const Result<Offset> &offset) {
        events.push_back("done" + std::to_string(*offset));
    });
    EXPECT_EQ(events, (std::vector<std::string>{"config12", "done12"}));
    EXPECT_EQ(id.sequence, 7U);
}

TEST(WatchedAppender, isSilentAboutFailures)
{
    FixedAppender log(failure(ErrorCode::Unknown, "lost"));
    bool isTold = false;
    WatchedAppender appender(log, [&isTold](const std::string &, Offset) {
        isTold = true;
    });
    Result<Offset> got = Offset{0};
    appender.append("config", "k", "{}", [&got](Result<Offset> offset) {
        got = std::move(offset);
    });
    EXPECT_FALSE(isTold);
    EXPECT_FALSE(got);
}

} // namespace
} // namespace bergamot
