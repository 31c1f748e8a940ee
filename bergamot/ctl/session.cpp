#include "bergamot/ctl/session.h"

#include "bergamot/base/json.h"
#include "bergamot/ctl/render.h"

namespace bergamot
{

namespace
{

using web::json::value;

/// What one round over the control processes brought.
struct Round
{
    ExitCode code = ExitCode::NotAccepted;
    value body;
    std::string problem;
};

ExitCode codeOf(int status)
{
    if (status >= 200 && status < 300) {
        return ExitCode::Done;
    }
    if (status == 503 || status == 429) {
        return ExitCode::NotAccepted;
    }
    return status >= 500 ? ExitCode::Unknown : ExitCode::Refused;
}

class Session
{
public:
    Session(const Command &command, const SessionOptions &options, const SessionWorld &world)
        : m_command(command)
        , m_options(options)
        , m_world(world)
        , m_end(world.clock.now() + options.limit)
    { }

    ExitCode run()
    {
        bool maybeChanged = false;
        for (;;) {
            Round round = ask();
            maybeChanged = maybeChanged || round.code == ExitCode::Unknown;
            if (round.code == ExitCode::Done && m_options.waitInForce && !inForce(round.body)) {
                round.code = ExitCode::NotInForce;
                round.problem = "not in force everywhere yet";
            }
            const bool definite = round.code == ExitCode::Done || round.code == ExitCode::Refused;
            if (definite || m_world.clock.now() + m_options.pause >= m_end) {
                return finish(round, maybeChanged);
            }
            m_world.report(round.problem + "; asking again");
            m_world.pause(m_options.pause);
        }
    }

private:
    Round ask() const
    {
        Round round;
        round.problem = "no control process can be reached";
        bool maybeRan = false;
        for (const Address &address : m_options.control) {
            const CallOutcome outcome = m_world.call(address, m_command.request, m_options.callTimeout);
            if (outcome) {
                round.code = codeOf(outcome->status);
                round.body = parseJson(outcome->body).value_or(value::null());
                round.problem = renderError(round.body);
                round.problem.erase(round.problem.find_last_not_of('\n') + 1);
                break;
            }
            maybeRan = maybeRan || outcome.error().delivery == Delivery::MaybeRan;
            round.problem = toString(address) + ": " + outcome.error().message;
        }
        if (round.code == ExitCode::NotAccepted && maybeRan) {
            round.code = ExitCode::Unknown;
        }
        return round;
    }

    static bool inForce(const value &body)
    {
        const bool counted = body.is_object() && body.has_field("in_force") && body.has_field("of");
        return !counted || body.at("in_force") == body.at("of");
    }

    ExitCode finish(const Round &round, bool maybeChanged) const
    {
        const bool answered = round.code == ExitCode::Done || round.code == ExitCode::NotInForce;
        if (m_options.json && !round.body.is_null()) {
            m_world.print(round.body.serialize() + "\n");
        } else if (answered) {
            m_world.print(m_command.render(round.body));
        }
        if (round.code != ExitCode::Done) {
            m_world.report(round.problem);
        }
        return round.code == ExitCode::NotAccepted && maybeChanged ? ExitCode::Unknown : round.code;
    }

    const Command &m_command;
    const SessionOptions &m_options;
    const SessionWorld &m_world;
    const TimePoint m_end;
};

} // namespace

ExitCode runCommand(const Command &command, const SessionOptions &options, const SessionWorld &world)
{
    return Session(command, options, world).run();
}

} // namespace bergamot
