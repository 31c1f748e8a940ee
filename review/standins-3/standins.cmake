# Adds the stand-ins of the third review to the project's build. review/build-3.sh passes this file to cmake, so that the
# default build does not know it.
bergamot_binary(
    NAME review-3
    SOURCES
        review/standins-3/batch_body.cpp
        review/standins-3/full_store_case.cpp
        review/standins-3/main.cpp
        review/standins-3/node_machine.cpp
        review/standins-3/open_batches_case.cpp
        review/standins-3/review_fleet.cpp
        review/standins-3/stale_owner_case.cpp
        review/standins-3/watched_proxy.cpp
    DEPS platform_standins net_whole_answer base_settings)
