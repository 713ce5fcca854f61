#include <stdio.h>

int
main (void)
{
  puts ("buckthornhead " PRODUCT_VERSION);
  return 0;
}
