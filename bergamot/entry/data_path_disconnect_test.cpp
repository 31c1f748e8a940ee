// Tests of the data path: a caller that disconnects in the middle of a stream.

#include "bergamot/entry/held_endpoint_fixture.h"

namespace bergamot
{

namespace
{

TEST_F(DataPathStreams, CallerDisconnectedMidStreamCancelsTheGeneration)
{
    HeldEndpoint endpoint;
    publishView({{endpoint.address()}});
    const auto [caller, stream] = openStream(endpoint);
    ASSERT_TRUE(stream);
    caller->disconnect();
    stream->write("two ");
    EXPECT_TRUE(endpoint.waitForPath("/cancel"));
    stream->endStream();
    EXPECT_EQ(caller->answerCount(), 0);
}

} // namespace

} // namespace bergamot
