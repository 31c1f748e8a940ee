#include "review/standins-3/batch_body.h"

#include "platform/base64.h"
#include "platform/standins/messages.h"

namespace bergamot::review
{

std::string itemName(const std::string &batch, std::size_t index)
{
    return batch + "-" + std::to_string(index);
}

std::string batchBody(const BatchBodyParameters &batch)
{
    const std::string body = platform::encodeBase64(std::string(batch.itemBytes, 'x'));
    std::string json = R"({"step":)" + std::to_string(batch.step) + R"(,"model":")"
        + std::string(platform::StandinModel) + R"(","min_version":)" + std::to_string(batch.minVersion)
        + R"(,"desired_count":)" + std::to_string(batch.items / batch.groupSize) + R"(,"items":[)";
    for (std::size_t index = 0; index < batch.items; ++index) {
        json.append(index == 0 ? R"({"id":")" : R"(,{"id":")").append(itemName(batch.name, index));
        json.append(R"(","path":"/samples/1","headers":{},"tokens":300,"group":"g)")
            .append(std::to_string(index / batch.groupSize));
        json.append(R"(","body":")").append(body).append(R"("})");
    }
    return json + "]}";
}

} // namespace bergamot::review
