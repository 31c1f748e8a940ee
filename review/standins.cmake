# Adds the stand-ins of the review to the project's build:
#     cmake -S . -B build-review -DCMAKE_PROJECT_INCLUDE=review/standins.cmake
function(review_add_standins)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/review/standins/*.cpp)
    add_executable(review-platform ${sources})
    target_link_libraries(review-platform
        PRIVATE platform_standins platform_tcp_proxy net_http_client net_whole_answer base_settings)
    set_target_properties(review-platform PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
cmake_language(DEFER CALL review_add_standins)
