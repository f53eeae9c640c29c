#include "crypto.h"

#include <array>

#include <sodium.h>

#include "comfreylock/types.h"

namespace comfreylock {
namespace {

void InitSodium() {
  static const int kResult = sodium_init();
  if (kResult < 0)
    throw Error("libsodium cannot be initialised");
}

const unsigned char* Bytes(std::string_view data) {
  return reinterpret_cast<const unsigned char*>(data.data());
}

unsigned char* Bytes(std::string& data) {
  return reinterpret_cast<unsigned char*>(data.data());
}

}  // namespace

std::string Sha256(std::string_view data) {
  InitSodium();
  std::string digest(crypto_hash_sha256_BYTES, '\0');
  crypto_hash_sha256(Bytes(digest), Bytes(data), data.size());
  return digest;
}

std::string HmacSha256(std::string_view key, std::string_view data) {
  InitSodium();
  std::string mac(crypto_auth_hmacsha256_BYTES, '\0');
  crypto_auth_hmacsha256_state state;
  crypto_auth_hmacsha256_init(&state, Bytes(key), key.size());
  crypto_auth_hmacsha256_update(&state, Bytes(data), data.size());
  crypto_auth_hmacsha256_final(&state, Bytes(mac));
  return mac;
}

uint64_t ShortHash(std::string_view data) {
  constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> kKey = {};
  std::array<unsigned char, crypto_shorthash_BYTES> digest{};
  crypto_shorthash(digest.data(), Bytes(data), data.size(), kKey.data());
  uint64_t number = 0;
  for (unsigned char byte : digest)
    number = number << 8 | byte;
  return number;
}

bool EqualConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string ToHex(std::string_view data) {
  std::string hex(data.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), Bytes(data), data.size());
  hex.pop_back();
  return hex;
}

std::string FromHex(std::string_view hex) {
  std::string data(hex.size() / 2, '\0');
  size_t length = 0;
  const char* end = nullptr;
  if (sodium_hex2bin(Bytes(data), data.size(), hex.data(), hex.size(), nullptr,
                     &length, &end) != 0 ||
      end != hex.data() + hex.size()) {
    return {};
  }
  data.resize(length);
  return data;
}

std::string ToBase64(std::string_view data) {
  constexpr int kVariant = sodium_base64_VARIANT_ORIGINAL;
  std::string text(sodium_base64_encoded_len(data.size(), kVariant), '\0');
  sodium_bin2base64(text.data(), text.size(), Bytes(data), data.size(),
                    kVariant);
  text.pop_back();
  return text;
}

std::string FromBase64(std::string_view text) {
  std::string data(text.size() / 4 * 3 + 3, '\0');
  size_t length = 0;
  const char* end = nullptr;
  if (sodium_base642bin(Bytes(data), data.size(), text.data(), text.size(),
                        nullptr, &length, &end,
                        sodium_base64_VARIANT_ORIGINAL) != 0 ||
      end != text.data() + text.size()) {
    return {};
  }
  data.resize(length);
  return data;
}

std::string RandomBytes(size_t bytes) {
  InitSodium();
  std::string data(bytes, '\0');
  randombytes_buf(data.data(), data.size());
  return data;
}

SigningKey MakeSigningKey() {
  InitSodium();
  SigningKey key{std::string(crypto_sign_PUBLICKEYBYTES, '\0'),
                 std::string(crypto_sign_SECRETKEYBYTES, '\0')};
  crypto_sign_keypair(Bytes(key.public_key), Bytes(key.secret_key));
  return key;
}

std::string Sign(std::string_view message, const SigningKey& key) {
  InitSodium();
  if (key.secret_key.size() != crypto_sign_SECRETKEYBYTES)
    throw Error("signing key must have 64 bytes");
  std::string signature(crypto_sign_BYTES, '\0');
  crypto_sign_detached(Bytes(signature), nullptr, Bytes(message),
                       message.size(), Bytes(key.secret_key));
  return signature;
}

bool VerifySignature(std::string_view message,
                     std::string_view signature,
                     std::string_view public_key) {
  InitSodium();
  if (signature.size() != crypto_sign_BYTES ||
      public_key.size() != crypto_sign_PUBLICKEYBYTES) {
    return false;
  }
  return crypto_sign_verify_detached(Bytes(signature), Bytes(message),
                                     message.size(), Bytes(public_key)) == 0;
}

}  // namespace comfreylock
