/* Comparison functions for sorting. */

#include "base/base.h"

gint
ch_compare_int64(gconstpointer a, gconstpointer b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}
