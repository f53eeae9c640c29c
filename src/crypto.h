#ifndef COMFREYLOCK_CRYPTO_H_
#define COMFREYLOCK_CRYPTO_H_

#include <cstdint>
#include <string>
#include <string_view>

/// Hashes, message authentication and signatures, all from libsodium.
namespace comfreylock {

/// @return the SHA-256 digest, 32 bytes.
std::string Sha256(std::string_view data);

/// @return the HMAC-SHA-256 of `data` under `key`, 32 bytes.
std::string HmacSha256(std::string_view key, std::string_view data);

/// @return a SipHash of `data`, the same on every node. For hashing keys to
/// partitions and nodes, not for authentication, since its key is a public
/// constant.
uint64_t ShortHash(std::string_view data);

/// Compares in a time that depends only on the length.
bool EqualConstantTime(std::string_view a, std::string_view b);

/// @return lower-case hexadecimal digits.
std::string ToHex(std::string_view data);

/// @return the bytes, or an empty string if `hex` is malformed.
std::string FromHex(std::string_view hex);

/// @return standard base64 with padding.
std::string ToBase64(std::string_view data);

/// @return the bytes, or an empty string if `text` is malformed.
std::string FromBase64(std::string_view text);

/// @param bytes number of random bytes.
std::string RandomBytes(size_t bytes);

/// An Ed25519 key pair, raw bytes.
struct SigningKey {
  std::string public_key;
  std::string secret_key;
};

SigningKey MakeSigningKey();

/// @return the detached signature, 64 bytes.
std::string Sign(std::string_view message, const SigningKey& key);

bool VerifySignature(std::string_view message,
                     std::string_view signature,
                     std::string_view public_key);

}  // namespace comfreylock

#endif  // COMFREYLOCK_CRYPTO_H_
