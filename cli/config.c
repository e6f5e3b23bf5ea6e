/* chestnuthitch config: check, show, diff and apply a declaration. */

#include "admin_client.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum {
    NO_BASE = -1,
};

struct options {
    char **nodes;
    char *author;
    gint64 base; /* NO_BASE: the revision in force */
    char **rest; /* what is left: the verb and its file */
};

enum {
    /* A lost answer is settled by reading back: a write that took effect shows
       within the key-value service's time-out and a node's watch. */
    READ_BACK_TRIES = 40,
    READ_BACK_PAUSE = 250 * 1000,
};

/* Writes an error for the operator. */
static void
complain(const char *message)
{
    (void)fprintf(stderr, "chestnuthitch: %s\n", message);
}

/* Gets the configuration in force (revision 0: none yet); false when no node
 * answered, which is said. */
static bool
fetch(const struct options *options, struct cli_config *config)
{
    struct cli_answer answer;
    cli_call_any(options->nodes, "GET", "/admin/v1/config", NULL, &answer);
    bool found = answer.status == 200 || answer.status == 404;
    if (found) {
        cli_config_parse(answer.status == 200 ? answer.body : "", NULL,
                         config);
    }
    else {
        complain(answer.status == 0 ? answer.message : answer.body);
    }
    cli_answer_clear(&answer);
    return found;
}

/* Writes who made a revision. */
static void
print_revision(FILE *out, const char *before, const struct cli_config *config)
{
    (void)fprintf(out, "%srevision %" PRIu64 " by %s\n", before,
                  config->revision, config->author);
}

/* Writes the difference between what is in force and a declaration. */
static void
print_diff(const char *from, const char *to)
{
    char *diff = ch_declaration_diff(from, to);
    (void)fputs(diff, stdout);
    g_free(diff);
}

/* config check FILE */
static int
run_check(const struct options *options,
          const struct ch_declaration *declaration)
{
    (void)printf("%s: %zu classes, %zu models, %zu services\n",
                 options->rest[1], declaration->class_count,
                 declaration->model_count, declaration->service_count);
    return CLI_OK;
}

/* config show: the declaration in force, as a file that can be applied. */
static int
run_show(const struct options *options,
         const struct ch_declaration *declaration)
{
    (void)declaration;
    struct cli_config config;
    if (!fetch(options, &config)) {
        return CLI_AWAY;
    }
    int status = CLI_OK;
    if (config.revision == 0) {
        complain("no configuration is in force yet");
        status = CLI_FAILED;
    }
    else {
        print_revision(stdout, "# ", &config);
        (void)fputs(config.text, stdout);
    }
    cli_config_clear(&config);
    return status;
}

/* config diff FILE: from what is in force to the file. */
static int
run_diff(const struct options *options,
         const struct ch_declaration *declaration)
{
    struct cli_config config;
    if (!fetch(options, &config)) {
        return CLI_AWAY;
    }
    print_diff(config.text, declaration->text);
    cli_config_clear(&config);
    return CLI_OK;
}

/* Says that somebody else was first, and what would still change. */
static int
report_conflict(const struct cli_config *config,
                const struct ch_declaration *declaration)
{
    print_revision(stderr,
                   "chestnuthitch: conflict, nothing applied: ", config);
    (void)fprintf(stderr, "From that revision to your file:\n");
    print_diff(config->text, declaration->text);
    return CLI_CONFLICT;
}

/* What one look tells of an apply whose answer was lost: an exit status, or -1
 * when the base is still in force.  Somebody else's later revision does not
 * tell whether the file was in force before it. */
static int
settle(const struct cli_config *config,
       const struct ch_declaration *declaration, uint64_t base)
{
    if (config->revision <= base) {
        return -1;
    }
    if (strcmp(config->text, declaration->text) == 0) {
        print_revision(stdout, "in force: ", config);
        return CLI_OK;
    }
    print_revision(stderr,
                   "chestnuthitch: the answer was lost; now in force is ",
                   config);
    (void)fprintf(stderr, "The file may have been in force before it.  From "
                          "that revision to your file:\n");
    print_diff(config->text, declaration->text);
    return CLI_AWAY;
}

/* Settles an apply whose answer was lost by looking at what is in force. */
static int
read_back(const struct options *options,
          const struct ch_declaration *declaration, uint64_t base)
{
    for (int i = 0; i < READ_BACK_TRIES; i++) {
        struct cli_config config;
        if (fetch(options, &config)) {
            int status = settle(&config, declaration, base);
            cli_config_clear(&config);
            if (status >= 0) {
                return status;
            }
        }
        g_usleep(READ_BACK_PAUSE);
    }
    complain("the answer was lost and the file is not in force; it may still "
             "come into force: run `config show` before applying again");
    return CLI_AWAY;
}

/* The exit status that a refusal of the node stands for. */
static int
refusal_status(const struct ch_error *error)
{
    int http = ch_code_http(error->code);
    if (http >= 500) {
        return CLI_AWAY;
    }
    return http == 400 || http == 413 ? CLI_BAD_INPUT : CLI_FAILED;
}

/* Turns the node's answer to an apply into words and an exit status. */
static int
report_apply(const struct options *options,
             const struct ch_declaration *declaration, uint64_t base,
             const struct cli_answer *answer)
{
    struct cli_config config;
    struct ch_error error;
    if (answer->status == 200) {
        cli_config_parse(answer->body, NULL, &config);
        print_revision(stdout, "in force: ", &config);
        cli_config_clear(&config);
        return CLI_OK;
    }
    if (answer->status == 0) {
        complain(answer->message);
        return answer->sent ? read_back(options, declaration, base) : CLI_AWAY;
    }
    cli_error_parse(answer->body, &error);
    if (error.code == CH_KV_CONFLICT) {
        cli_config_parse(answer->body, "config", &config);
        int status = report_conflict(&config, declaration);
        cli_config_clear(&config);
        return status;
    }
    complain(error.message);
    if (ch_code_outcome(error.code) == CH_UNKNOWN) {
        return read_back(options, declaration, base);
    }
    return refusal_status(&error);
}

/* config apply FILE: compare-and-swap against the revision in force, or the
 * one named with --base. */
static int
run_apply(const struct options *options,
          const struct ch_declaration *declaration)
{
    struct cli_config config;
    if (!fetch(options, &config)) {
        return CLI_AWAY;
    }
    uint64_t base =
        options->base == NO_BASE ? config.revision : (uint64_t)options->base;
    bool same =
        config.revision != 0 && strcmp(config.text, declaration->text) == 0;
    if (same) {
        print_revision(stdout, "already in force: ", &config);
    }
    cli_config_clear(&config);
    if (same) {
        return CLI_OK;
    }
    char *path = g_strdup_printf("/admin/v1/config?base=%" PRIu64 "&author=%s",
                                 base, options->author);
    struct cli_answer answer;
    cli_call_any(options->nodes, "POST", path, declaration->text, &answer);
    int status = report_apply(options, declaration, base, &answer);
    cli_answer_clear(&answer);
    g_free(path);
    return status;
}

struct verb {
    const char *name;
    bool file;
    bool node;
    int (*run)(const struct options *options,
               const struct ch_declaration *declaration);
};

static const struct verb verbs[] = {
    {"check", true, false, run_check},
    {"show", false, true, run_show},
    {"diff", true, true, run_diff},
    {"apply", true, true, run_apply},
};

/* The verb that the command line names with the right number of files. */
static const struct verb *
find_verb(char **rest)
{
    guint count = rest == NULL ? 0 : g_strv_length(rest);
    for (size_t i = 0; count > 0 && i < G_N_ELEMENTS(verbs); i++) {
        if (strcmp(rest[0], verbs[i].name) == 0 &&
            count == (verbs[i].file ? 2U : 1U)) {
            return &verbs[i];
        }
    }
    return NULL;
}

/* Checks what the verb needs, loads its file and runs it. */
static int
run_verb(const struct verb *verb, const struct options *options)
{
    if (verb->node && !cli_nodes_check(options->nodes)) {
        return CLI_BAD_INPUT;
    }
    struct ch_declaration *declaration = NULL;
    struct ch_error error = {0};
    if (verb->file) {
        declaration = ch_declaration_load(options->rest[1], &error);
        if (declaration == NULL) {
            complain(error.message);
            return CLI_BAD_INPUT;
        }
    }
    int status = verb->run(options, declaration);
    ch_declaration_free(declaration);
    return status;
}

/* Parses the options into *options; false with a message said. */
static bool
parse_options(int argc, char **argv, struct options *options)
{
    const GOptionEntry entries[] = {
        {"node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &options->nodes,
         "Admin listener of a node; several are tried in turn", "IP:PORT"},
        {"author", 'a', 0, G_OPTION_ARG_STRING, &options->author,
         "Who applies (default: the user's name)", "NAME"},
        {"base", 'b', 0, G_OPTION_ARG_INT64, &options->base,
         "Revision that the file was made from (default: the one in force)",
         "REVISION"},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->rest,
         NULL, NULL},
        {0},
    };
    GOptionContext *context =
        g_option_context_new("check FILE | show | diff FILE | apply FILE");
    g_option_context_set_summary(
        context, "Checks, shows, compares or applies the declaration of "
                 "classes and models.");
    g_option_context_set_description(
        context, "Exit status: 0 done, 1 nothing in force to show, 2 wrong "
                 "input, 3 conflict, 4 not\nreachable or not known.\n");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *reason = NULL;
    bool fine = g_option_context_parse(context, &argc, &argv, &reason);
    if (!fine) {
        complain(reason->message);
        g_error_free(reason);
    }
    else if (options->base < NO_BASE) {
        complain("--base: not a revision (0 for none)");
        fine = false;
    }
    g_option_context_free(context);
    return fine;
}

/* The subcommand; argv[0] is its name. */
int
cli_config(int argc, char **argv)
{
    struct options options = {.base = NO_BASE};
    int status = CLI_BAD_INPUT;
    if (parse_options(argc, argv, &options)) {
        if (options.author == NULL) {
            options.author = g_strdup(g_get_user_name());
        }
        const struct verb *verb = find_verb(options.rest);
        if (verb == NULL) {
            complain("config takes: check FILE | show | diff FILE | apply "
                     "FILE (see --help)");
        }
        else {
            status = run_verb(verb, &options);
        }
    }
    g_strfreev(options.nodes);
    g_strfreev(options.rest);
    g_free(options.author);
    return status;
}
