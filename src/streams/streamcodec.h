#pragma once

#include "streams/streams.pb.h"
#include "streams/streamtypes.h"

namespace cardamomlift::streams {

void writeState(const StreamState &state, wire::StreamState &message);
StreamState readState(const wire::StreamState &message);

} // namespace cardamomlift::streams
