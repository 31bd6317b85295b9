#include "base/version.h"

#include "build_id.h"

const char *const version_build_id = LC_BUILD_ID;
