#include "filbertrack/base_compress.h"

#include <array>

#include <zlib.h>

namespace filbertrack {

namespace {

/// The fastest zlib level; it already compresses a configuration to a tenth.
constexpr int kCompressionLevel = 1;

}  // namespace

std::string Compress(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string bytes(size, '\0');
  compress2(reinterpret_cast<Bytef*>(bytes.data()), &size,
            reinterpret_cast<const Bytef*>(text.data()), text.size(),
            kCompressionLevel);
  bytes.resize(size);
  return bytes;
}

std::optional<std::string> Decompress(std::string_view bytes,
                                      size_t max_bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string text;
  std::array<char, 64 * 1024> buffer;
  int status = Z_OK;
  while (status == Z_OK && text.size() <= max_bytes) {
    stream.next_out = reinterpret_cast<Bytef*>(buffer.data());
    stream.avail_out = buffer.size();
    status = inflate(&stream, Z_NO_FLUSH);
    text.append(buffer.data(), buffer.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (status != Z_STREAM_END || text.size() > max_bytes) {
    return std::nullopt;
  }
  return text;
}

}  // namespace filbertrack
