# Runs one case folder: the file "command" holds the program and its arguments,
# one a line; "exit" the expected exit code; "output" the expected text on both
# streams. The program runs in the folder.
file(STRINGS ${CASE}/command command)
list(POP_FRONT command program)
execute_process(COMMAND ${PROGRAMS}/${program} ${command}
  WORKING_DIRECTORY ${CASE}
  RESULT_VARIABLE exit OUTPUT_VARIABLE output ERROR_VARIABLE output)
file(READ ${CASE}/exit expected_exit)
file(READ ${CASE}/output expected_output)
string(STRIP "${expected_exit}" expected_exit)
if(NOT exit EQUAL expected_exit)
  message(FATAL_ERROR "exit code ${exit}, expected ${expected_exit}:\n${output}")
endif()
if(NOT output STREQUAL expected_output)
  message(FATAL_ERROR "output:\n${output}\nexpected:\n${expected_output}")
endif()
