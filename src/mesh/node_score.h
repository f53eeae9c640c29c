#ifndef COMFREYLOCK_MESH_NODE_SCORE_H_
#define COMFREYLOCK_MESH_NODE_SCORE_H_

#include <cstdint>
#include <string_view>

/// Scores by which nodes agree on the few nodes that have a duty.
namespace comfreylock::mesh {

/// FNV-1a: gives the same result on all nodes.
/// @param text the duty, followed by the name of a node.
inline uint64_t NodeScore(std::string_view text) {
  uint64_t hash = 14695981039346656037u;
  for (unsigned char byte : text) {
    hash ^= byte;
    hash *= 1099511628211u;
  }
  return hash;
}

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_NODE_SCORE_H_
