#include "endless_answer.hpp"

namespace bergamotusher::fakes
{

std::vector<endless_answer> endless_answers(const std::string& fields)
{
    constexpr std::size_t block_size = std::size_t{16} * 1024;
    const std::string filler(block_size, 'x');
    const auto repeated = [&](const std::string& text)
    {
        std::string block;
        while (block.size() < block_size)
            block += text;
        return block;
    };
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string head = status + fields;
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string stream =
        head + "Content-Type: text/event-stream\r\nTransfer-Encoding: "
               "chunked\r\n\r\n";
    return {
        {"status_line", "HTTP/1.1 200 ", filler},
        {"header_line", head + "A: ", filler},
        {"header_lines", head, repeated("A: x\r\n")},
        {"body", head + "\r\n", filler},
        {"chunks", chunked, "4000\r\n" + filler + "\r\n"},
        {"chunk_size", chunked, std::string(block_size, '0')},
        {"chunk_extension", chunked + "4;a=", filler},
        {"trailers", chunked + "4\r\nxxxx\r\n0\r\n", repeated("A: x\r\n")},
        {"interim", "", repeated("HTTP/1.1 102 Processing\r\n\r\n")},
        {"event", stream + "6\r\ndata: \r\n", "4000\r\n" + filler + "\r\n"}};
}

} // namespace bergamotusher::fakes
