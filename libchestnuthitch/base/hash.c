/* Hash functions with the same results on every node and in every run. */

#include "base/base.h"

#include <string.h>

/* Mixes every input bit into all bits of the result (the finalizer of
 * SplitMix64; Steele, Lea and Flood, OOPSLA 2014). */
static uint64_t
mix(uint64_t word)
{
    word ^= word >> 30;
    word *= UINT64_C(0xbf58476d1ce4e5b9);
    word ^= word >> 27;
    word *= UINT64_C(0x94d049bb133111eb);
    word ^= word >> 31;
    return word;
}

/* A 64-bit hash of bytes: FNV-1a with a finalizer.  An adversary can construct
 * collisions; code for which a collision would break a guarantee compares the
 * bytes as well. */
uint64_t
ch_hash(const void *bytes, size_t length)
{
    const unsigned char *input = bytes;
    uint64_t word = UINT64_C(0xcbf29ce484222325);
    for (size_t i = 0; i < length; i++) {
        word = (word ^ input[i]) * UINT64_C(0x100000001b3);
    }
    return mix(word);
}

/* The hash of a string without its terminating NUL. */
uint64_t
ch_hash_string(const char *text)
{
    return ch_hash(text, strlen(text));
}

/* A hash of two words; their order matters. */
uint64_t
ch_hash_pair(uint64_t a, uint64_t b)
{
    return mix(mix(a) + UINT64_C(0x9e3779b97f4a7c15) * (b + 1));
}

/* Rendezvous hashing (Thaler and Ravishankar, 1998): the index of the name
 * with the highest weight for key, -1 when there are no names.  When a name is
 * added or removed, only the keys that it gains or loses move. */
int
ch_rendezvous_select(uint64_t key, const char *const *names, size_t count)
{
    int best = -1;
    uint64_t best_weight = 0;
    for (size_t i = 0; i < count; i++) {
        uint64_t weight = ch_hash_pair(key, ch_hash_string(names[i]));
        if (best < 0 || weight > best_weight) {
            best = (int)i;
            best_weight = weight;
        }
    }
    return best;
}
