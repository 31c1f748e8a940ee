#include "bergamot/logstore/log_store.h"

namespace bergamot::logstore
{

std::string keyedRecord(const std::string &key, const std::string &value)
{
    return std::string(1, static_cast<char>(key.size())) + key + value;
}

std::optional<KeyedRecord> splitKeyed(const std::string &record, std::uint64_t offset)
{
    if (record.empty()) {
        return std::nullopt;
    }
    const auto length = static_cast<unsigned char>(record.front());
    if (record.size() < 1U + length) {
        return std::nullopt;
    }
    return KeyedRecord{.key = record.substr(1, length), .value = record.substr(1U + length), .offset = offset};
}

} // namespace bergamot::logstore
