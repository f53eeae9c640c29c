#ifndef COMFREYLOCK_MESH_FRAME_CHECK_H_
#define COMFREYLOCK_MESH_FRAME_CHECK_H_

#include "generated/mesh.pb.h"

/// Checks of the values in frames that other nodes send.
namespace comfreylock::mesh {

/// @throws InputError if a value of the frame is outside the range that the
/// reducer expects: a rate that is not a finite number of 0 or more, a sending
/// time that no clock has, or an answer whose status is not a final one.
void CheckFrame(const wire::Frame& frame);

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_FRAME_CHECK_H_
