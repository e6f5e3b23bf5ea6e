/* Hashing that is the same on every node and in every run. */

#include "base/base.h"

#include <string.h>

/* Spreads every input bit over the word (the finisher of SplitMix64,
 * Steele, Lea and Flood, OOPSLA 2014). */
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

/* A 64-bit hash of bytes: FNV-1a with a finisher.  Not against an adversary
 * who looks for collisions: where a collision would break a promise, the
 * bytes themselves are compared too. */
uint64_t
ch_hash(const void *bytes, size_t length)
{
    const unsigned char *at = bytes;
    uint64_t word = UINT64_C(0xcbf29ce484222325);
    for (size_t i = 0; i < length; i++) {
        word = (word ^ at[i]) * UINT64_C(0x100000001b3);
    }
    return mix(word);
}

/* ch_hash of a string without its end. */
uint64_t
ch_hash_string(const char *text)
{
    return ch_hash(text, strlen(text));
}

/* A hash of two words in order. */
uint64_t
ch_hash_pair(uint64_t a, uint64_t b)
{
    return mix(mix(a) + UINT64_C(0x9e3779b97f4a7c15) * (b + 1));
}

/* Rendezvous hashing (Thaler and Ravishankar, 1998): the index of the name
 * with the highest weight for key.  A name that comes or goes moves only the
 * keys that it wins or held; -1 when there are no names. */
int
ch_rendezvous(uint64_t key, const char *const *names, size_t count)
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
