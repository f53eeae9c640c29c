#ifndef COMFREYLOCK_MESH_PEER_INPUT_H_
#define COMFREYLOCK_MESH_PEER_INPUT_H_

#include <exception>
#include <optional>
#include <string>

/// The boundary at which bytes from outside the process are interpreted.
namespace comfreylock::mesh {

/// Runs code that interprets bytes from callers, targets, other nodes or the
/// store. Parsers and decoders report unacceptable bytes with exceptions of
/// several types. Whatever the type, the error concerns only the connection or
/// the entry that the bytes came from, so no exception leaves this function.
/// @return the error, or nothing if `interpret` returned.
template <typename Interpret>
std::optional<std::string> InterpretInput(Interpret interpret) {
  try {
    interpret();
    return std::nullopt;
  } catch (const std::exception& error) {
    return error.what();
  }
}

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_PEER_INPUT_H_
