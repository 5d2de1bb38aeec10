#include "godwitbarrow/workspaces/keys.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <cstring>

namespace godwitbarrow::workspaces
{

key_hash hash_key(std::string_view key)
{
    key_hash out;
    static_assert(sizeof(out.bytes) == SHA256_DIGEST_LENGTH);
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
           out.bytes.data());
    return out;
}

bool operator==(const key_hash& a, const key_hash& b)
{
    return CRYPTO_memcmp(a.bytes.data(), b.bytes.data(), a.bytes.size()) == 0;
}

}  // namespace godwitbarrow::workspaces

std::size_t std::hash<godwitbarrow::workspaces::key_hash>::operator()(
    const godwitbarrow::workspaces::key_hash& it) const noexcept
{
    // The bytes of a SHA-256 are spread evenly already.
    std::size_t out = 0;
    std::memcpy(&out, it.bytes.data(), sizeof(out));
    return out;
}
