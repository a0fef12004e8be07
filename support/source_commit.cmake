# chicorydrum_source_commit(RESULT) sets RESULT to the first 12 digits of the
# commit that is checked out, or to "unknown" if the tree is no repository.
# CMake runs again when another commit is checked out.
function(chicorydrum_source_commit result)
  set(repository ${PROJECT_SOURCE_DIR}/.git)
  set(commit "")
  # Without this check, git would name the commit of a repository around the
  # tree.
  if(EXISTS ${repository})
    execute_process(
      COMMAND git rev-parse --short=12 HEAD
      WORKING_DIRECTORY ${PROJECT_SOURCE_DIR} RESULT_VARIABLE failure
      OUTPUT_VARIABLE commit OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET)
  endif()
  # Where programs are built, git may be missing, or refuse another user's
  # repository.
  if(NOT commit MATCHES "^[0-9a-f]+$" AND EXISTS ${repository}/HEAD)
    file(STRINGS ${repository}/HEAD commit LIMIT_COUNT 1)
    if(commit MATCHES "^ref: (.*)$")
      set(ref ${CMAKE_MATCH_1})
      set(commit "")
      if(EXISTS ${repository}/${ref})
        file(STRINGS ${repository}/${ref} commit LIMIT_COUNT 1)
      elseif(EXISTS ${repository}/packed-refs)
        file(STRINGS ${repository}/packed-refs lines REGEX "^[0-9a-f]+ ${ref}$")
        string(REGEX MATCH "^[0-9a-f]+" commit "${lines}")
      endif()
    endif()
    string(SUBSTRING "${commit}" 0 12 commit)
  endif()
  if(NOT commit MATCHES "^[0-9a-f]+$")
    set(commit unknown)
  endif()
  # The log of HEAD grows with each commit, HEAD itself changes with the branch.
  foreach(file HEAD logs/HEAD)
    if(EXISTS ${repository}/${file})
      set_property(DIRECTORY APPEND PROPERTY
        CMAKE_CONFIGURE_DEPENDS ${repository}/${file})
    endif()
  endforeach()
  set(${result} ${commit} PARENT_SCOPE)
endfunction()
