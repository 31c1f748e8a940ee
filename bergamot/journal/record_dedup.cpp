#include "bergamot/journal/record_dedup.h"

namespace bergamot
{

using web::json::value;

bool RecordDedup::admit(const StoredRecord &stored)
{
    const RecordId &id = stored.record.id;
    const Incarnation incarnation(id.writer, id.incarnation);
    const auto found = m_latest.find(incarnation);
    if (found != m_latest.end() && id.sequence <= found->second.sequence) {
        return false;
    }
    if (found != m_latest.end()) {
        m_byOffset.erase(found->second.offset);
    }
    store(incarnation, {id.sequence, stored.offset});
    return true;
}

void RecordDedup::store(const Incarnation &incarnation, Latest latest)
{
    m_latest[incarnation] = latest;
    m_byOffset[latest.offset] = incarnation;
    if (m_latest.size() > MaxIncarnations) {
        m_latest.erase(m_byOffset.begin()->second);
        m_byOffset.erase(m_byOffset.begin());
    }
}

value RecordDedup::toJson() const
{
    value json = value::array();
    for (const auto &[incarnation, latest] : m_latest) {
        value entry = value::array();
        entry[0] = value(incarnation.first);
        entry[1] = value::number(incarnation.second);
        entry[2] = value::number(latest.sequence);
        entry[3] = value::number(latest.offset);
        json[json.size()] = entry;
    }
    return json;
}

Result<void> RecordDedup::restore(const value &json)
{
    RecordDedup restored;
    try {
        for (const value &entry : json.as_array()) {
            const Incarnation incarnation(entry.at(0).as_string(), entry.at(1).as_number().to_uint64());
            restored.store(incarnation, {entry.at(2).as_number().to_uint64(), entry.at(3).as_number().to_uint64()});
        }
    } catch (const web::json::json_exception &error) {
        return failure(ErrorCode::InvalidArgument,
                       std::string("the field \"writers\" of the checkpoint is malformed: ") + error.what());
    }
    *this = std::move(restored);
    return {};
}

} // namespace bergamot
