# Sources of the product, and what a build folder holds of them.

set(LC_PACKAGES base wire core lease platform daemon cli)

# Sets OUT to the files of the product below ROOT, sorted.
function(lc_list_sources ROOT OUT)
  set(files)
  foreach(package ${LC_PACKAGES})
    file(GLOB found RELATIVE ${ROOT} ${ROOT}/${package}/*.c
         ${ROOT}/${package}/*.h)
    list(APPEND files ${found})
  endforeach()
  list(SORT files)
  set(${OUT} ${files} PARENT_SCOPE)
endfunction()

# Sets OUT to a list of "HASH FILE", one for each source.
function(lc_hash_sources ROOT OUT)
  lc_list_sources(${ROOT} files)
  set(rows)
  foreach(name ${files})
    file(SHA256 ${ROOT}/${name} hash)
    list(APPEND rows "${hash} ${name}")
  endforeach()
  set(${OUT} ${rows} PARENT_SCOPE)
endfunction()

# Sets OUT to one hash of all sources.
function(lc_hash_product ROOT OUT)
  lc_hash_sources(${ROOT} rows)
  string(SHA256 hash "${rows}")
  string(SUBSTRING ${hash} 0 12 hash)
  set(${OUT} ${hash} PARENT_SCOPE)
endfunction()

# Make goes by times: a source that was replaced by an older file, as a copy of
# another commit may be, would leave its old object in place. Such sources get a
# new time; the objects of a folder that does not tell what it was built from,
# or of another compiler or processor, are removed.
function(lc_renew_build ROOT FOLDER TOOLCHAIN)
  set(record ${FOLDER}/built-sources.txt)
  set(before)
  if(EXISTS ${record})
    file(STRINGS ${record} before)
  endif()
  lc_hash_sources(${ROOT} rows)
  if(NOT "toolchain ${TOOLCHAIN}" IN_LIST before)
    file(GLOB_RECURSE objects ${FOLDER}/*.o ${FOLDER}/*.a)
    if(objects)
      message(STATUS "Removing objects of another or an unknown build")
      file(REMOVE ${objects})
    endif()
  else()
    foreach(row ${rows})
      if(NOT row IN_LIST before)
        string(REGEX REPLACE "^[0-9a-f]+ " "" name "${row}")
        file(TOUCH_NOCREATE ${ROOT}/${name})
      endif()
    endforeach()
  endif()
  string(REPLACE ";" "\n" text "toolchain ${TOOLCHAIN};${rows}")
  file(WRITE ${record} "${text}\n")
endfunction()
