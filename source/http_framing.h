#pragma once

/// Fields that tell where the body of a message ends.

#include "filbertrack/http_headers.h"

namespace filbertrack {

/// Whether a field is Content-Length or Transfer-Encoding but for one octet of
/// its name. A recipient that ignores the field takes all bytes up to the end
/// of the connection for the body.
bool HasDamagedLength(const HttpHeaders& headers);

}  // namespace filbertrack
