#ifndef COMFREYLOCK_MESH_HTTP_TYPES_H_
#define COMFREYLOCK_MESH_HTTP_TYPES_H_

#include <memory>
#include <string>
#include <string_view>

#include "mesh/events.h"

/// Complete HTTP messages, as the HTTP servers and clients of a mesh node
/// exchange them.
namespace comfreylock::mesh {

struct HttpRequest {
  std::string method;
  std::string request_target;
  Fields fields;
  std::string body;
  /// If set, the body instead of `body`; sent without a copy.
  std::shared_ptr<const std::string> shared_body;
  bool has_body = false;

  const std::string& Body() const { return shared_body ? *shared_body : body; }
};

struct HttpAnswer {
  int status = 200;
  std::string status_text;
  Fields fields;
  std::string body;
  bool close = false;  ///< The connection is closed after it.
};

/// @return the value of the first field with that name (compared without regard
/// to case), or nothing.
std::optional<std::string_view> FindField(const Fields& fields,
                                          std::string_view name);

/// @return whether two field names are equal without regard to case.
bool IsSameFieldName(std::string_view a, std::string_view b);

/// How an answer relates to the request in progress on its connection.
enum class AnswerMatch {
  kOwn,
  kOther,    ///< Belongs to an earlier request and is discarded.
  kInvalid,  ///< Belongs to no request for certain; the exchange is broken.
};

/// @return whether a status line lies within the head of an answer. The server
/// has then broken off one answer and has begun another, and the head consists
/// of parts of both.
bool ContainsStatusLine(const HttpAnswer& answer);

/// Removes hop-by-hop fields and those that frame the body.
void RemoveConnectionFields(Fields& fields);

/// @return the bytes of a request with Content-Length framing, without the
/// body.
std::string SerializeHead(const HttpRequest& request);

/// @return the bytes of a request with Content-Length framing.
std::string Serialize(const HttpRequest& request);

/// @param to_head_request whether the request was HEAD: no body is written.
/// @return the bytes of an answer with Content-Length framing.
std::string Serialize(const HttpAnswer& answer, bool to_head_request);

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_HTTP_TYPES_H_
