# Compiles through ccache where it is installed; several work trees share one cache.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER
        ${CMAKE_COMMAND} -E env
        CCACHE_BASEDIR=${CMAKE_SOURCE_DIR}
        CCACHE_NOHASHDIR=1
        CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
        ${CCACHE_PROGRAM})
endif()
