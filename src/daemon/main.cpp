#include <iostream>

int main()
{
    std::cout << "bergamotusherd " BERGAMOTUSHER_VERSION "\n";
}
