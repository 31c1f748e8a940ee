#include "bergamot/net/whole_answer.h"

namespace bergamot::net
{

void startForWholeAnswer(HttpClient &client, ClientRequest request, std::function<void(WholeAnswer)> done)
{
    auto answer = std::make_shared<WholeAnswer>();
    client.start(std::move(request),
                 {.onHead =
                      [answer](const ResponseHead &head) {
                          answer->status = head.status;
                      },
                  .onData =
                      [answer](std::string_view data) {
                          answer->body += data;
                      },
                  .onEnd =
                      [answer, done = std::move(done)](const CallEnd &end) {
                          answer->end = end;
                          done(std::move(*answer));
                      }});
}

} // namespace bergamot::net
