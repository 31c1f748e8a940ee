#include "bergamot/tenants/tenant_index.h"

namespace bergamot::tenants
{

TenantIndex::TenantIndex(std::vector<Tenant> tenants)
{
    auto content = std::make_shared<Content>();
    content->tenants = std::move(tenants);
    for (std::size_t position = 0; position < content->tenants.size(); ++position) {
        for (const KeyDigest &key : content->tenants[position].keys) {
            const auto [held, added] = content->byKey.try_emplace(key, position);
            if (!added && held->second != position) {
                held->second.reset();
            }
        }
    }
    m_content = std::move(content);
}

const Tenant *TenantIndex::find(const KeyDigest &key) const
{
    const auto found = m_content->byKey.find(key);
    return found == m_content->byKey.end() || !found->second ? nullptr : &m_content->tenants[*found->second];
}

Credentials parseCredentials(const net::HeaderFields &headers, std::string_view name, std::string_view scheme)
{
    const net::HeaderField *credentials = nullptr;
    for (const net::HeaderField &field : headers.all()) {
        if (!net::HeaderFields::sameName(field.name, name)) {
            continue;
        }
        if (credentials != nullptr) {
            return {.state = Credentials::State::Malformed};
        }
        credentials = &field;
    }
    if (credentials == nullptr) {
        return {.state = Credentials::State::Missing};
    }
    const std::string_view value = credentials->value;
    const std::size_t space = value.find(' ');
    if (space == std::string_view::npos || !net::HeaderFields::sameName(value.substr(0, space), scheme)) {
        return {.state = Credentials::State::Malformed};
    }
    const std::string_view key = value.substr(space + 1);
    if (key.empty() || key.find_first_of(" \t,") != std::string_view::npos) {
        return {.state = Credentials::State::Malformed};
    }
    return {.state = Credentials::State::Key, .key = sha256(key)};
}

Admission admit(const TenantIndex &index, bool publicCall, const Credentials &credentials)
{
    const Tenant *tenant = credentials.state == Credentials::State::Key ? index.find(credentials.key) : nullptr;
    if (tenant != nullptr || publicCall) {
        return {.verdict = Verdict::Admitted, .tenant = tenant};
    }
    switch (credentials.state) {
    case Credentials::State::Missing:
        return {.verdict = Verdict::Refused, .reason = "no key"};
    case Credentials::State::Malformed:
        return {.verdict = Verdict::Refused, .reason = "malformed credentials"};
    case Credentials::State::Key:
        break;
    }
    return {.verdict = Verdict::UnknownKey, .reason = "unknown key"};
}

std::string scopedId(std::string_view tenant, std::string_view id)
{
    std::string scoped;
    for (const char character : tenant) {
        if (character == '/' || character == '%') {
            scoped += character == '/' ? "%2F" : "%25";
        } else {
            scoped += character;
        }
    }
    scoped += '/';
    scoped += id;
    return scoped;
}

} // namespace bergamot::tenants
