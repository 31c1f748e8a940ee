# Compiles through ccache if it is installed. The settings let several work trees share one cache.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER
        ${CMAKE_COMMAND} -E env
        CCACHE_BASEDIR=${CMAKE_SOURCE_DIR}
        CCACHE_NOHASHDIR=1
        CCACHE_PCH_EXTSUM=1
        CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
        ${CCACHE_PROGRAM})

    # The compiled header differs between work trees. With CCACHE_PCH_EXTSUM, ccache hashes this checksum of the header's
    # inputs instead of the compiled header.
    function(bergamot_sum_precompiled_header target header)
        file(READ ${header} text)
        string(SHA256 sum
            "${text};${CMAKE_CXX_COMPILER_VERSION};${CMAKE_BUILD_TYPE};${BERGAMOT_ASAN};${BERGAMOT_TSAN};${cpprestsdk_VERSION};${Boost_VERSION}")
        file(WRITE ${CMAKE_CURRENT_BINARY_DIR}/CMakeFiles/${target}.dir/cmake_pch.hxx.gch.sum "${sum}")
    endfunction()
endif()
