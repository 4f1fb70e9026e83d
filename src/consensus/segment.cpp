#include "consensus/segment.hpp"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>

#include <cstring>

namespace bergamotusher::consensus
{

namespace
{

constexpr char magic[] = {'b', 'u', 'l', '1'};
constexpr std::size_t magic_size = sizeof(magic);
constexpr std::size_t header_size = magic_size + 4 + 4 + 8;

struct header
{
    std::uint32_t length = 0;
    std::uint32_t crc = 0;
    std::uint64_t synced_size = 0;
};

template<class T>
void append_integer(std::string& bytes, T value)
{
    value = boost::endian::native_to_little(value);
    char raw[sizeof(T)];
    std::memcpy(raw, &value, sizeof(T));
    bytes.append(raw, sizeof(T));
}

template<class T>
T read_integer(const std::string& bytes, std::size_t offset)
{
    T value;
    std::memcpy(&value, bytes.data() + offset, sizeof(T));
    return boost::endian::little_to_native(value);
}

/// The bytes that the checksum of a record covers.
std::string
checksummed_bytes(const std::string& payload, std::uint64_t synced_size)
{
    std::string bytes;
    append_integer(bytes, synced_size);
    return bytes + payload;
}

/// Reads the record at `offset`; false if it is incomplete or damaged.
bool read_record(
    const std::string& bytes,
    std::size_t offset,
    header& head,
    stored_record& record)
{
    if (bytes.size() - offset < header_size ||
        bytes.compare(offset, magic_size, magic, magic_size) != 0)
        return false;
    head.length = read_integer<std::uint32_t>(bytes, offset + magic_size);
    head.crc = read_integer<std::uint32_t>(bytes, offset + magic_size + 4);
    head.synced_size =
        read_integer<std::uint64_t>(bytes, offset + magic_size + 8);
    if (bytes.size() - offset - header_size < head.length)
        return false;
    const std::string payload = bytes.substr(offset + header_size, head.length);
    if (checksum(checksummed_bytes(payload, head.synced_size)) != head.crc)
        return false;
    auto decoded = decode_record(payload);
    if (!decoded)
        return false;
    record = std::move(*decoded);
    return true;
}

/// True if an intact record after `bad_offset` states a synced size above
/// `bad_offset`: the record at `bad_offset` had been synced.
bool was_synced(const std::string& bytes, std::size_t bad_offset)
{
    const std::string needle(magic, magic_size);
    for (std::size_t i = bytes.find(needle, bad_offset + 1);
         i != std::string::npos;
         i = bytes.find(needle, i + 1))
    {
        header head;
        stored_record record;
        if (read_record(bytes, i, head, record) &&
            head.synced_size > bad_offset)
            return true;
    }
    return false;
}

} // namespace

std::uint32_t checksum(const std::string& bytes)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

std::string frame_record(const std::string& payload, std::uint64_t synced_size)
{
    std::string bytes(magic, magic_size);
    append_integer(bytes, static_cast<std::uint32_t>(payload.size()));
    append_integer(bytes, checksum(checksummed_bytes(payload, synced_size)));
    append_integer(bytes, synced_size);
    return bytes + payload;
}

segment_content parse_segment(const std::string& bytes)
{
    segment_content content;
    while (content.valid_size < bytes.size())
    {
        header head;
        stored_record record;
        if (!read_record(bytes, content.valid_size, head, record))
        {
            content.corrupt = was_synced(bytes, content.valid_size);
            return content;
        }
        content.valid_size += header_size + head.length;
        content.records.push_back(std::move(record));
    }
    return content;
}

} // namespace bergamotusher::consensus
