#pragma once

// The platform's services as HTTP servers on the stand-ins' cores: log, instance list, weight store, scoring.
//
//     LogServer log(context, address, {.appendsPerSecond = 400});
//     log.port().start();

#include "bergamot/standins/list_core.h"
#include "bergamot/standins/log_core.h"
#include "bergamot/standins/scoring_core.h"
#include "bergamot/standins/standin_port.h"
#include "bergamot/standins/weight_store_core.h"

namespace bergamot
{

/// POST /log/{stream}/append, GET /log/{stream}/read, POST /faults.
class LogServer
{
public:
    LogServer(const StandinContext &context, Address address, LogCoreOptions options);
    StandinPort &port();

private:
    void append(const StandinCall &call);
    void read(const StandinCall &call);

    StandinContext m_context;
    LogCore m_core;
    StandinPort m_port;
};

/// GET /instances, POST /instances/register {member}, POST /instances/state {id, state}, POST /instances/remove {id},
/// POST /faults.
class ListServer
{
public:
    ListServer(const StandinContext &context, Address address, Duration lag);
    StandinPort &port();

private:
    void registerMember(const StandinCall &call);
    void changeState(const StandinCall &call);
    void remove(const StandinCall &call);

    StandinContext m_context;
    ListCore m_core;
    StandinPort m_port;
};

/// GET /weights/{model}, POST /weights/{model}/publish {version}, POST /faults.
class WeightStoreServer
{
public:
    WeightStoreServer(const StandinContext &context, Address address, WeightStoreOptions options);
    StandinPort &port();
    /// For the engines of the same process.
    WeightSource &source();

private:
    void publish(const StandinCall &call);

    StandinContext m_context;
    WeightStoreCore m_core;
    StandinPort m_port;
};

/// POST /score {prompt, text}, POST /faults.
class ScoringServer
{
public:
    ScoringServer(const StandinContext &context, Address address, Duration scoringTime);
    StandinPort &port();

private:
    void score(const StandinCall &call);

    ScoringCore m_core;
    StandinPort m_port;
};

} // namespace bergamot
