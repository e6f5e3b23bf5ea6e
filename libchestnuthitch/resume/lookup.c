/* Decides from the replies of other nodes where a stream began. */

#include "resume/resume.h"

enum {
    /* How long a list of upstreams that was confirmed after the question is
     * waited for: as long as other nodes may take to read in place of those
     * that do not reach the key-value store. */
    CONFIRMATION_WAIT_US = 1500 * 1000,
    /* While the key-value store is away nobody's list is confirmed, and no
     * version appears to anybody. The list counts then if at least this part
     * of the nodes, in quarters, hear each other: the rest may know another
     * one. */
    MIN_LIVE_QUARTERS = 3,
};

/* See resume.h. */
bool
ch_stream_finding_is_origin(enum ch_stream_finding finding)
{
    return finding == CH_STREAM_FOUND || finding == CH_STREAM_SOLE;
}

/* See resume.h. */
const char *
ch_stream_finding_get_name(enum ch_stream_finding finding)
{
    static const char *const names[CH_STREAM_FINDINGS] = {
        [CH_STREAM_ASKING] = "asking",
        [CH_STREAM_FOUND] = "record",
        [CH_STREAM_SOLE] = "sole-version",
        [CH_STREAM_AMBIGUOUS] = "ambiguous-records",
        [CH_STREAM_SEVERAL] = "several-versions",
        [CH_STREAM_NOT_COVERED] = "unknown-past",
        [CH_STREAM_STALE] = "stale-list",
    };
    return names[finding];
}

static void
add_version(struct ch_stream_versions *versions, uint64_t id)
{
    for (unsigned i = 0; i < versions->count; i++) {
        if (versions->ids[i] == id) {
            return;
        }
    }
    if (versions->count < CH_STREAM_MAX_VERSIONS) {
        versions->ids[versions->count++] = id;
    }
}

/* See resume.h. */
void
ch_stream_lookup_init(struct ch_stream_lookup *lookup, uint64_t service,
                      const struct ch_stream_versions *own,
                      size_t listed_nodes, size_t live_nodes)
{
    *lookup = (struct ch_stream_lookup){
        .service = service,
        .versions = *own,
        .listed_nodes = listed_nodes,
        .live_nodes = live_nodes,
    };
}

/* See resume.h. */
void
ch_stream_lookup_add_reply(struct ch_stream_lookup *lookup,
                           const struct ch_stream_record *record,
                           const struct ch_stream_versions *versions)
{
    lookup->replied++;
    for (unsigned i = 0; i < versions->count; i++) {
        add_version(&lookup->versions, versions->ids[i]);
    }
    lookup->versions.covers = MAX(lookup->versions.covers, versions->covers);
    lookup->versions.age = MIN(lookup->versions.age, versions->age);
    if (record == NULL) {
        return;
    }
    if (!lookup->has_record) {
        lookup->has_record = true;
        lookup->record = *record;
    }
    else if (!ch_stream_origin_equals(&record->origin,
                                      &lookup->record.origin)) {
        lookup->record.ambiguous = true;
    }
}

/* See resume.h. */
void
ch_stream_lookup_renew(struct ch_stream_lookup *lookup,
                       const struct ch_stream_versions *own,
                       size_t listed_nodes, size_t live_nodes, int64_t waited)
{
    for (unsigned i = 0; i < own->count; i++) {
        add_version(&lookup->versions, own->ids[i]);
    }
    lookup->versions.age = MIN(lookup->versions.age, own->age - waited);
    lookup->listed_nodes = listed_nodes;
    lookup->live_nodes = live_nodes;
}

/*
 * Decides without a record. A node that was cut off, frozen or has just
 * started may know of one version alone although others serve; so other nodes
 * have to know the same, for as long as a stream may last, and by a list that
 * was confirmed after the question: a stream that is taken up began before it.
 */
static enum ch_stream_finding
decide_by_versions(const struct ch_stream_lookup *lookup, int64_t waited)
{
    const struct ch_stream_versions *versions = &lookup->versions;
    bool alone = lookup->listed_nodes <= 1;
    if (versions->count != 1 || versions->ids[0] == CH_VERSION_NOT_KNOWN) {
        return CH_STREAM_SEVERAL;
    }
    if (versions->covers < CH_STREAM_LIFE_US) {
        return CH_STREAM_NOT_COVERED;
    }
    if (lookup->replied == 0 && !alone) {
        return CH_STREAM_STALE;
    }
    if (versions->age <= 0) {
        return CH_STREAM_SOLE;
    }
    if (waited < CONFIRMATION_WAIT_US) {
        return CH_STREAM_ASKING;
    }
    bool hears_most =
        lookup->live_nodes * 4 >= lookup->listed_nodes * MIN_LIVE_QUARTERS;
    return hears_most ? CH_STREAM_SOLE : CH_STREAM_STALE;
}

/* See resume.h. */
enum ch_stream_finding
ch_stream_lookup_decide(const struct ch_stream_lookup *lookup, int64_t waited,
                        struct ch_stream_origin *origin)
{
    if (lookup->has_record) {
        *origin = lookup->record.origin;
        return lookup->record.ambiguous ? CH_STREAM_AMBIGUOUS
                                        : CH_STREAM_FOUND;
    }
    if (lookup->replied + lookup->failed < lookup->asked) {
        return CH_STREAM_ASKING;
    }
    enum ch_stream_finding finding = decide_by_versions(lookup, waited);
    if (finding == CH_STREAM_SOLE) {
        *origin = (struct ch_stream_origin){lookup->service,
                                            lookup->versions.ids[0]};
    }
    return finding;
}
