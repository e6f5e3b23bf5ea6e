/* The team that a request belongs to, and what it takes of the team's quota.
 */

#include "node/request.h"

/* See request.h. A caller's name cannot contain the separator of the owner, so
 * that no caller of another team has the same owner. */
bool
ch_request_set_team(struct ch_request *request,
                    const struct ch_declaration *declaration,
                    const struct ch_class *class,
                    const struct ch_credential *credential,
                    const struct ch_team **team, struct ch_fault *fault)
{
    enum ch_code code = CH_OK;
    *team = ch_access_find_team(declaration, class, credential, &code);
    if (code != CH_OK) {
        ch_fault_set(fault, code, "Authorization", "%s",
                     ch_code_get_meaning(code));
        return false;
    }
    if (*team == NULL) {
        request->owner = g_strdup(request->caller);
        return true;
    }
    request->team = g_strdup((*team)->name);
    request->owner = g_strconcat(request->team, "\t", request->caller, NULL);
    g_free(request->tenant);
    request->tenant = g_strdup(request->team);
    request->info.tenant = ch_hash_string(request->team);
    request->info.has_team = true;
    if ((*team)->priority != CH_TEAM_NO_PRIORITY) {
        request->info.priority = (*team)->priority;
    }
    return true;
}

/* See request.h. */
void
ch_request_set_quota_cost(struct ch_request *request,
                          const struct ch_team *team, bool states_tokens)
{
    if (team == NULL || team->quota_per_s <= 0) {
        return;
    }
    const struct ch_request_info *info = &request->info;
    request->quota_rank = info->class_priority;
    if (!team->counts_tokens) {
        request->quota_cost = 1;
    }
    else if (states_tokens) {
        request->quota_cost =
            (double)info->prompt_tokens + (double)info->max_output_tokens;
    }
    else {
        /* Requests of plain services cost a small part of what a prompt does:
         * to hold them back would serve hardly any other. */
        request->quota_cost = team->plain_tokens;
        request->quota_rank = 0;
    }
}
