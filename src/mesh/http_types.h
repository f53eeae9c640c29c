#ifndef COMFREYLOCK_MESH_HTTP_TYPES_H_
#define COMFREYLOCK_MESH_HTTP_TYPES_H_

#include <string>
#include <string_view>

#include "mesh/events.h"

/// Whole HTTP messages, as listeners and clients of a mesh node exchange them.
namespace comfreylock::mesh {

struct HttpRequest {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
  bool has_body = false;
};

struct HttpAnswer {
  int status = 200;
  std::string status_text;
  Fields fields;
  std::string body;
  bool close = false;  ///< The connection ends after it.
};

/// @return the first value of a field, case-insensitive, or nothing.
std::optional<std::string_view> FindField(const Fields& fields,
                                          std::string_view name);

/// @return whether two field names are the same.
bool SameName(std::string_view a, std::string_view b);

/// Removes the fields that concern one connection only, and those that frame
/// the body.
void RemoveConnectionFields(Fields& fields);

/// @return the bytes of a request with Content-Length framing.
std::string Serialize(const HttpRequest& request);

/// @param bodiless the answer to a HEAD request.
/// @return the bytes of an answer with Content-Length framing.
std::string Serialize(const HttpAnswer& answer, bool bodiless);

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_HTTP_TYPES_H_
