/* Requests that would be begun with too late. */

#include "decide/late.h"

enum {
    /* Callers give up a stream that brings nothing for four times its target:
     * an engine that begins within three has a target left to read the prompt.
     */
    BEGIN_TARGETS = 3,
    /* When those come back who were refused as engines are full. */
    LEAST_BACK = 500 * 1000,
    MOST_BACK = 3000 * 1000,
    /* Until one was seen: a copy near by loads in two seconds. */
    USUAL_LOAD = 2 * G_USEC_PER_SEC,
    /* Loads differ, and some are overdue: none is taken to end within this
     * part of the usual time. */
    LEAST_PART = 4,
    /* What was not told again for so long is not so any more: holders tell of
     * every engine each eight seconds at least. */
    TOLD_STALE = 10 * G_USEC_PER_SEC,
};

/* Part of the last load in the mean. */
static const double load_weight = 0.2;

/* A model that an engine is loading. */
struct loading {
    GQuark upstream;
    GQuark model;
    int64_t since;
    int64_t told;
};

struct ch_coming {
    GArray *list; /* struct loading */
    double usual; /* from when it is first told until the model is there */
};

/* Nothing is being loaded yet. */
struct ch_coming *
ch_coming_new(void)
{
    struct ch_coming *coming = g_new0(struct ch_coming, 1);
    coming->list = g_array_new(FALSE, FALSE, sizeof(struct loading));
    coming->usual = USUAL_LOAD;
    return coming;
}

/* Frees it with all that it holds. */
void
ch_coming_free(struct ch_coming *coming)
{
    if (coming != NULL) {
        g_array_free(coming->list, TRUE);
        g_free(coming);
    }
}

/* Whether a list of names has this one. */
static bool
has(const GQuark *names, size_t count, GQuark name)
{
    for (size_t i = 0; i < count; i++) {
        if (names[i] == name) {
            return true;
        }
    }
    return false;
}

/* Notes that an engine is still loading a model, or has begun to. */
static void
note_loading(struct ch_coming *coming, GQuark upstream, GQuark model,
             int64_t now)
{
    for (guint i = 0; i < coming->list->len; i++) {
        struct loading *known =
            &g_array_index(coming->list, struct loading, i);
        if (known->upstream == upstream && known->model == model) {
            known->told = now;
            return;
        }
    }
    const struct loading fresh = {upstream, model, now, now};
    g_array_append_val(coming->list, fresh);
}

/* See late.h. */
void
ch_coming_told(struct ch_coming *coming, GQuark upstream, const GQuark *models,
               size_t model_count, const GQuark *loading, size_t loading_count,
               int64_t now)
{
    for (guint i = coming->list->len; i > 0; i--) {
        const struct loading *known =
            &g_array_index(coming->list, struct loading, i - 1);
        if (known->upstream != upstream ||
            has(loading, loading_count, known->model)) {
            continue;
        }
        if (has(models, model_count, known->model)) {
            coming->usual +=
                ((double)(now - known->since) - coming->usual) * load_weight;
        }
        g_array_remove_index_fast(coming->list, i - 1);
    }
    for (size_t i = 0; i < loading_count; i++) {
        note_loading(coming, upstream, loading[i], now);
    }
}

/* See late.h. */
int64_t
ch_coming_at(const struct ch_coming *coming, GQuark model, int64_t now)
{
    int64_t first = 0;
    for (guint i = 0; i < coming->list->len; i++) {
        const struct loading *known =
            &g_array_index(coming->list, struct loading, i);
        if (known->model != model || now - known->told > TOLD_STALE) {
            continue;
        }
        int64_t usual = (int64_t)coming->usual;
        int64_t at = MAX(known->since + usual, now + usual / LEAST_PART);
        first = first == 0 ? at : MIN(first, at);
    }
    return first;
}

/* Until when it is of use to begin with a request. */
static int64_t
last_begin(const struct ch_work *work)
{
    int64_t target = work->first_by - work->arrived;
    return MIN(work->arrived + BEGIN_TARGETS * target, work->whole_by);
}

/* See late.h. */
bool
ch_late_is(const struct ch_work *work, int64_t expected, int64_t now)
{
    return !work->service && !work->begun && now + expected > last_begin(work);
}

/*
 * Load: more requests for a model than its engines can begin with before the
 * callers give up.  Harm prevented: all of them wait in one line, and the
 * engines work for callers who have gone while the next ones wait too long in
 * their turn.  What would come too late waits here if another engine is likely
 * to have the model within the target, else it is refused at once, with when
 * there will be room.  Limit: a load from the weight store takes longer than
 * most callers wait, and all that waited for it goes to the new engine at the
 * same moment; held beyond the target, most are refused late or given up
 * there.
 */
struct ch_late
ch_late_decide(const struct ch_work *work, int64_t expected, int64_t there,
               int64_t now)
{
    if (there != 0 && there < work->first_by && now < work->first_by) {
        return (struct ch_late){.waits = true, .until = work->first_by};
    }
    int64_t room = there == 0 ? expected / 2 : MIN(expected / 2, there - now);
    return (struct ch_late){.back = CLAMP(room, LEAST_BACK, MOST_BACK)};
}
