#ifndef COMFREYLOCK_MESH_FRAME_CHECK_H_
#define COMFREYLOCK_MESH_FRAME_CHECK_H_

#include <string_view>

#include "generated/mesh.pb.h"

/// Checks of the values in frames that other nodes send, and of their records
/// in the store.
namespace comfreylock::mesh {

/// @throws InputError if a value of the frame is outside the range that the
/// reducer expects: a rate that is not a finite number of 0 or more, a sending
/// time that no clock has, an answer whose status is not in 200 to 599, a
/// method, path, status text or field that violates the rules for HTTP
/// messages, or a Hello whose address no link can lead to.
void CheckFrame(const wire::Frame& frame);

/// @param node the node that the record's key names.
/// @throws InputError if the record is not one of this node, or if no link can
/// lead to its address.
void CheckNodeRecord(const wire::NodeRecord& record, std::string_view node);

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_FRAME_CHECK_H_
