#include "bergamot/base/json.h"

namespace bergamot
{

Result<web::json::value> parseJson(std::string_view text)
{
    std::error_code status;
    web::json::value value = web::json::value::parse(std::string(text), status);
    if (status) {
        return failure(ErrorCode::InvalidArgument, "the text is not valid JSON: " + status.message());
    }
    return value;
}

FieldReader::FieldReader(const web::json::value &object, std::string path)
    : m_object(object)
    , m_path(std::move(path))
{
    if (!object.is_object()) {
        m_errors.push_back(m_path + " must be a JSON object");
    }
}

const web::json::value *FieldReader::find(const std::string &name) const
{
    if (!m_object.is_object()) {
        return nullptr;
    }
    const web::json::object &fields = m_object.as_object();
    const auto found = fields.find(name);
    return found == fields.end() ? nullptr : &found->second;
}

bool FieldReader::has(const std::string &name) const
{
    return find(name) != nullptr;
}

void FieldReader::reject(const std::string &name, const std::string &problem)
{
    m_errors.push_back(m_path + "." + name + " " + problem);
}

void FieldReader::rejectUnknown(const std::vector<std::string> &known)
{
    if (!m_object.is_object()) {
        return;
    }
    std::string names;
    for (const std::string &name : known) {
        names += names.empty() ? name : ", " + name;
    }
    for (const auto &[name, value] : m_object.as_object()) {
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            reject(name, "is not known; use one of: " + names);
        }
    }
}

std::string FieldReader::requiredString(const std::string &name)
{
    const web::json::value *field = find(name);
    if (field == nullptr || !field->is_string() || field->as_string().empty()) {
        reject(name, "must be a non-empty string");
        return {};
    }
    return field->as_string();
}

std::string FieldReader::optionalString(const std::string &name, std::string fallback)
{
    const web::json::value *field = find(name);
    if (field == nullptr) {
        return fallback;
    }
    if (!field->is_string()) {
        reject(name, "must be a string");
        return fallback;
    }
    return field->as_string();
}

std::uint64_t FieldReader::requiredUnsigned(const std::string &name)
{
    if (!has(name)) {
        reject(name, "must be a whole number, 0 or more");
        return 0;
    }
    return optionalUnsigned(name, 0);
}

std::uint64_t FieldReader::optionalUnsigned(const std::string &name, std::uint64_t fallback)
{
    const web::json::value *field = find(name);
    if (field == nullptr) {
        return fallback;
    }
    if (!field->is_number() || !field->as_number().is_uint64()) {
        reject(name, "must be a whole number, 0 or more");
        return fallback;
    }
    return field->as_number().to_uint64();
}

double FieldReader::optionalNumber(const std::string &name, double fallback)
{
    const web::json::value *field = find(name);
    if (field == nullptr) {
        return fallback;
    }
    if (!field->is_number()) {
        reject(name, "must be a number");
        return fallback;
    }
    return field->as_double();
}

bool FieldReader::optionalBool(const std::string &name, bool fallback)
{
    const web::json::value *field = find(name);
    if (field == nullptr) {
        return fallback;
    }
    if (!field->is_boolean()) {
        reject(name, "must be true or false");
        return fallback;
    }
    return field->as_bool();
}

std::vector<web::json::value> FieldReader::optionalArray(const std::string &name)
{
    const web::json::value *field = find(name);
    if (field == nullptr) {
        return {};
    }
    if (!field->is_array()) {
        reject(name, "must be an array");
        return {};
    }
    const web::json::array &elements = field->as_array();
    return {elements.begin(), elements.end()};
}

web::json::value FieldReader::optionalObject(const std::string &name)
{
    const web::json::value *field = find(name);
    if (field == nullptr) {
        return web::json::value::object();
    }
    if (!field->is_object()) {
        reject(name, "must be an object");
        return web::json::value::object();
    }
    return *field;
}

Result<void> FieldReader::finish() const
{
    if (m_errors.empty()) {
        return {};
    }
    std::string message;
    for (const std::string &error : m_errors) {
        message += message.empty() ? "" : "; ";
        message += error;
    }
    return failure(ErrorCode::InvalidArgument, message);
}

} // namespace bergamot
