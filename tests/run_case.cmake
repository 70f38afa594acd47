# Runs one test case from the directory CASE with the programs in PROGRAMS. The
# file "command" holds the program and its arguments, one per line; "exit" the
# expected exit code; "output" the expected text of stdout and stderr combined.
# The program runs with CASE as its working directory.
file(STRINGS ${CASE}/command command)
list(POP_FRONT command program)
execute_process(COMMAND ${PROGRAMS}/${program} ${command}
  WORKING_DIRECTORY ${CASE}
  RESULT_VARIABLE exit_code OUTPUT_VARIABLE output ERROR_VARIABLE output)
file(READ ${CASE}/exit expected_exit_code)
file(READ ${CASE}/output expected_output)
string(STRIP "${expected_exit_code}" expected_exit_code)
if(NOT exit_code EQUAL expected_exit_code)
  message(FATAL_ERROR "exit code ${exit_code}, expected ${expected_exit_code}:\n${output}")
endif()
if(NOT output STREQUAL expected_output)
  message(FATAL_ERROR "unexpected output:\n${output}\nexpected:\n${expected_output}")
endif()
