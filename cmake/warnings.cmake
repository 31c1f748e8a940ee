add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual -Werror -fpch-preprocess)
# Designated initializers may leave out fields that keep their default.
add_compile_options(-Wno-missing-field-initializers)
# GCC 12 falsely reports overlaps and overflows inside std::string operations.
add_compile_options(-Wno-restrict -Wno-stringop-overflow -Wno-stringop-overread -Wno-array-bounds)
set(CMAKE_CXX_FLAGS_RELEASE "-O2")

option(BERGAMOT_ASAN "Build with the address and undefined-behaviour sanitizers" OFF)
option(BERGAMOT_TSAN "Build with the thread sanitizer" OFF)
if(BERGAMOT_ASAN)
    # The vptr check reports every object whose type information is hidden inside the cpprestsdk library.
    add_compile_options(
        -fsanitize=address,undefined -fno-sanitize=vptr -fno-omit-frame-pointer -fno-sanitize-recover=undefined)
    add_link_options(-fsanitize=address,undefined)
endif()
if(BERGAMOT_TSAN)
    # GCC does not model atomic_thread_fence under this sanitizer; Boost.Asio uses it.
    add_compile_options(-fsanitize=thread -fno-omit-frame-pointer -Wno-error=tsan)
    add_link_options(-fsanitize=thread)
endif()

# The precompiled header is built once for all targets, so its macros are set for all of them. The last one keeps
# cpprestsdk from defining U(), which collides with template parameters of GoogleTest.
add_compile_definitions(
    CPPREST_FORCE_HTTP_CLIENT_ASIO
    CPPREST_FORCE_HTTP_LISTENER_ASIO
    CPPREST_NO_SSL_LEAK_SUPPRESS
    _TURN_OFF_PLATFORM_STRING)
