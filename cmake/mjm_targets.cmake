# mjm_library(NAME [SOURCES ...] [LINK ...])
# Headers are included as <module/header.h> relative to src/libs and src/plugins.
function(mjm_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/libs ${CMAKE_SOURCE_DIR}/src/plugins)
  target_link_libraries(${name} PUBLIC ${ARG_LINK} Threads::Threads)
endfunction()

# mjm_test_library(NAME SOURCES ... LINK ...): as mjm_library, for fakes that tests use.
function(mjm_test_library name)
  if(MJM_WITH_TESTS)
    mjm_library(${name} ${ARGN})
    target_include_directories(${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/tests/fakes)
  endif()
endfunction()

# mjm_test(NAME SOURCES ... LINK ... [INCLUDE ...]): one Catch2 executable, registered with CTest as a single test.
function(mjm_test name)
  if(NOT MJM_WITH_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK;INCLUDE" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE mjm_test_main Catch2::Catch2 ${ARG_LINK})
  target_include_directories(${name} PRIVATE ${ARG_INCLUDE})
  add_test(NAME ${name} COMMAND ${name})
endfunction()

# mjm_program(NAME SOURCES ... LINK ...): one binary in <build>/bin.
function(mjm_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_LINK})
  target_compile_definitions(${name} PRIVATE MJM_VERSION="${PROJECT_VERSION}")
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
