# Finds the dependencies and defines functions that declare the packages of this
# workspace.
#
# gk_library(NAME DEPENDS ...)   static library goldcrestkeel_NAME from
#                                include/ and src/
# gk_binary(NAME DEPENDS ...)    executable NAME from src/
# gk_test(NAME DEPENDS ...)      Catch2 test NAME_test from tests/

find_package(Threads REQUIRED)
find_package(CURL REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(ZLIB REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS log thread)
find_package(PkgConfig REQUIRED)
pkg_check_modules(LIBEVENT REQUIRED IMPORTED_TARGET libevent)
pkg_check_modules(PISTACHE REQUIRED IMPORTED_TARGET libpistache)
pkg_check_modules(THRIFT REQUIRED IMPORTED_TARGET thrift-nb thrift)
find_package(prometheus-cpp REQUIRED)

add_library(gk_options INTERFACE)
target_compile_options(gk_options INTERFACE -Wall -Wextra -Werror)
target_compile_definitions(gk_options INTERFACE BOOST_LOG_DYN_LINK)

function(gk_sources aOut)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  set(${aOut} ${sources} PARENT_SCOPE)
endfunction()

function(gk_library aName)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  gk_sources(sources)
  if(NOT sources)
    return()
  endif()
  add_library(goldcrestkeel_${aName} STATIC ${sources})
  target_include_directories(goldcrestkeel_${aName} PUBLIC include
                                                    PRIVATE src)
  target_link_libraries(goldcrestkeel_${aName} PUBLIC ${ARG_DEPENDS}
                                               PRIVATE gk_options)
endfunction()

function(gk_binary aName)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  gk_sources(sources)
  if(NOT sources)
    return()
  endif()
  add_executable(${aName} ${sources})
  target_include_directories(${aName} PRIVATE src)
  target_link_libraries(${aName} PRIVATE ${ARG_DEPENDS} gk_options)
  if(CMAKE_CURRENT_SOURCE_DIR MATCHES "/packages/")
    install(TARGETS ${aName} RUNTIME DESTINATION bin)
  endif()
endfunction()

if(NOT GK_DAEMON_ONLY)
  add_library(gk_catch_main STATIC ${CMAKE_SOURCE_DIR}/cmake/CatchMain.cpp)
endif()

# A test with a LABEL runs serially. Tests that start real processes have the label
# "process".
function(gk_test aName)
  cmake_parse_arguments(ARG "" "LABEL" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(GK_DAEMON_ONLY OR NOT sources)
    return()
  endif()
  add_executable(${aName}_test ${sources})
  target_include_directories(${aName}_test PRIVATE
    src tests ${CMAKE_SOURCE_DIR}/testing/include)
  target_link_libraries(${aName}_test PRIVATE ${ARG_DEPENDS} gk_catch_main
                                              gk_options)
  add_test(NAME ${aName} COMMAND ${aName}_test)
  if(ARG_LABEL)
    set_tests_properties(${aName} PROPERTIES LABELS ${ARG_LABEL} RUN_SERIAL ON)
  endif()
endfunction()
