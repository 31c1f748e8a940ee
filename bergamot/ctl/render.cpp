#include "bergamot/ctl/render.h"

#include <vector>

namespace bergamot
{

namespace
{

using web::json::value;

value field(const value &json, const std::string &name)
{
    return json.is_object() && json.has_field(name) ? json.at(name) : value::null();
}

std::string text(const value &json)
{
    if (json.is_null()) {
        return "";
    }
    return json.is_string() ? json.as_string() : json.serialize();
}

std::string text(const value &json, const std::string &name)
{
    return text(field(json, name));
}

std::vector<value> elements(const value &json, const std::string &name)
{
    const value array = field(json, name);
    return array.is_array() ? std::vector<value>(array.as_array().begin(), array.as_array().end())
                            : std::vector<value>();
}

using Row = std::vector<std::string>;

/// Columns as wide as their widest cell; nothing for no rows.
std::string table(const Row &header, const std::vector<Row> &rows)
{
    if (rows.empty()) {
        return "";
    }
    std::vector<std::size_t> widths(header.size());
    std::vector<Row> all{header};
    all.insert(all.end(), rows.begin(), rows.end());
    for (const Row &row : all) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string drawn;
    for (const Row &row : all) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        drawn += line + "\n";
    }
    return drawn;
}

/// One row for each element of the array `name`, with the fields named in `header` in lower case.
std::string
tableOf(const value &json, const std::string &name, const Row &header, const std::vector<std::string> &fields)
{
    std::vector<Row> rows;
    for (const value &element : elements(json, name)) {
        Row row;
        for (const std::string &one : fields) {
            row.push_back(text(element, one));
        }
        rows.push_back(std::move(row));
    }
    return table(header, rows);
}

std::string lines(const value &json, const std::string &name, const std::string &prefix)
{
    std::string drawn;
    for (const value &element : elements(json, name)) {
        drawn += prefix + text(element) + "\n";
    }
    return drawn;
}

std::string inForce(const value &body)
{
    std::string drawn = "In force on " + text(body, "in_force") + " of " + text(body, "of") + " instances.\n";
    return drawn + tableOf(body, "missing", {"MISSING", "HAS VERSION"}, {"instance", "version"});
}

} // namespace

std::string renderPlan(const value &body)
{
    const value cost = field(body, "cost");
    std::string drawn = "Plan " + text(body, "plan") + " (" + text(body, "state") + ") changes version "
        + text(body, "base_version") + ".\n";
    const std::string reason = text(body, "reason");
    drawn += reason.empty() ? "" : "Reason: " + reason + "\n";
    drawn += "\n" + tableOf(body, "changes", {"KIND", "NAME", "FROM", "TO"}, {"kind", "name", "from", "to"});
    drawn += "\nCost: " + text(cost, "engines_touched") + " engines, " + text(cost, "store_fetches")
        + " fetches from the weight store, " + text(cost, "duration_ms") + " ms.\n";
    drawn += tableOf(cost,
                     "capacity",
                     {"MODEL", "DOMAIN", "ENGINES", "TOUCHED", "OUT AT ONCE", "CAPACITY LOST %"},
                     {"model", "domain", "engines", "touched", "out_at_once", "lost_percent"});
    drawn +=
        tableOf(cost,
                "trainers",
                {"TRAINER", "STALENESS", "BOUND", "IDLE MS", "STEP TIME %"},
                {"trainer", "predicted_staleness", "staleness_bound", "predicted_idle_ms", "step_time_change_percent"});
    return drawn + lines(body, "warnings", "Warning: ");
}

std::string renderConfirmation(const value &body)
{
    std::string drawn =
        "Plan " + text(body, "plan") + " is " + text(body, "state") + " as version " + text(body, "version") + ".\n";
    drawn += lines(body, "superseded", "Superseded intent: ");
    drawn += lines(body, "collisions", "Collided with intent: ");
    return drawn + inForce(body);
}

std::string renderStatus(const value &body)
{
    std::string drawn = "Version " + text(body, "version") + " (offset " + text(body, "offset") + ").\n";
    if (text(body, "confirmed") == "false") {
        drawn += "Unconfirmed: this instance has not read the log lately.\n";
    }
    return drawn + inForce(body);
}

std::string renderHistory(const value &body)
{
    const std::string drawn =
        tableOf(body,
                "plans",
                {"OFFSET", "PLAN", "OPERATOR", "BASE", "STATE", "VERSION", "SUPERSEDED BY"},
                {"offset", "plan", "operator", "base_version", "state", "version", "superseded_by"});
    return drawn.empty() ? "No plans yet.\n" : drawn;
}

std::string renderExplanation(const value &body)
{
    return lines(body, "explanation", "") + "\n"
        + tableOf(body, "changes", {"KIND", "NAME", "FROM", "TO"}, {"kind", "name", "from", "to"})
        + lines(body, "warnings", "Warning: ");
}

std::string renderError(const value &body)
{
    const std::string message = text(body, "message");
    const std::string other = text(body, "superseded_by");
    return (message.empty() ? text(body) : message) + "\n" + (other.empty() ? "" : "Other intent: " + other + "\n");
}

} // namespace bergamot
