#include "bergamot/keys/log_time.h"

namespace bergamot
{

using std::chrono::milliseconds;
using web::json::value;

milliseconds LogTime::advance(const RecordId &id, milliseconds writerClock)
{
    const std::pair incarnation(id.writer, id.incarnation);
    if (m_offsets.size() >= MaxIncarnations && !m_offsets.contains(incarnation)) {
        m_offsets.clear();
    }
    const auto [offset, isNew] = m_offsets.try_emplace(incarnation, m_now - writerClock);
    m_now = std::max(m_now, writerClock + offset->second);
    return m_now;
}

milliseconds LogTime::now() const
{
    return m_now;
}

value LogTime::toJson() const
{
    value offsets = value::array();
    for (const auto &[incarnation, offset] : m_offsets) {
        value entry = value::array();
        entry[0] = value(incarnation.first);
        entry[1] = value::number(incarnation.second);
        entry[2] = value::number(static_cast<std::int64_t>(offset.count()));
        offsets[offsets.size()] = entry;
    }
    value json = value::object();
    json["now_ms"] = value::number(static_cast<std::int64_t>(m_now.count()));
    json["offsets"] = offsets;
    return json;
}

Result<void> LogTime::restore(const value &json)
{
    LogTime restored;
    try {
        restored.m_now = milliseconds(json.at("now_ms").as_number().to_int64());
        for (const value &entry : json.at("offsets").as_array()) {
            const std::pair incarnation(entry.at(0).as_string(), entry.at(1).as_number().to_uint64());
            restored.m_offsets[incarnation] = milliseconds(entry.at(2).as_number().to_int64());
        }
    } catch (const web::json::json_exception &error) {
        return failure(ErrorCode::InvalidArgument, std::string("the checkpoint's time is malformed: ") + error.what());
    }
    *this = std::move(restored);
    return {};
}

} // namespace bergamot
