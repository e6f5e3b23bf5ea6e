/* chestnuthitch config: checks, shows, compares and applies a declaration. */

#include "admin_client.h"

#include "access/access.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum {
    BASE_IN_FORCE = -1,
};

struct options {
    char **nodes;
    char *author;
    gint64 base;      /* revision, or BASE_IN_FORCE */
    char **arguments; /* positional: the verb and its file */
};

enum {
    /* After a lost response, the configuration is read back until the outcome
       is known.  A successful write becomes visible within the timeout of the
       key-value store plus the delay of a node's watch; the attempts are meant
       to cover that time. */
    READ_BACK_ATTEMPTS = 40,
    READ_BACK_INTERVAL_US = 250 * 1000,
};

static void
print_error(const char *message)
{
    (void)fprintf(stderr, "chestnuthitch: %s\n", message);
}

/* Reads the configuration in force (revision 0: none yet) from a node.  If no
 * node gives it, prints an error and returns false. */
static bool
fetch_config(const struct options *options, struct cli_config *config)
{
    struct cli_response response;
    cli_call_any_node(options->nodes, "GET", "/admin/v1/config", NULL,
                      &response);
    bool found = response.status == 200 || response.status == 404;
    if (found) {
        cli_config_parse(response.status == 200 ? response.body : "", NULL,
                         config);
    }
    else {
        print_error(response.status == 0 ? response.error_message
                                         : response.body);
    }
    cli_response_clear(&response);
    return found;
}

/* Writes a line with the number of a revision and its author. */
static void
print_revision(FILE *out, const char *prefix, const struct cli_config *config)
{
    (void)fprintf(out, "%srevision %" PRIu64 " by %s\n", prefix,
                  config->revision, config->author);
}

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
                 options->arguments[1], declaration->class_count,
                 declaration->model_count, declaration->service_count);
    return CLI_OK;
}

/* config show: prints the declaration in force in a form that can be
 * applied. */
static int
run_show(const struct options *options,
         const struct ch_declaration *declaration)
{
    (void)declaration;
    struct cli_config config;
    if (!fetch_config(options, &config)) {
        return CLI_UNREACHABLE;
    }
    int status = CLI_OK;
    if (config.revision == 0) {
        print_error("no configuration is in force yet");
        status = CLI_FAILED;
    }
    else {
        print_revision(stdout, "# ", &config);
        (void)fputs(config.text, stdout);
    }
    cli_config_clear(&config);
    return status;
}

/* config diff FILE: prints the changes from the declaration in force to the
 * file. */
static int
run_diff(const struct options *options,
         const struct ch_declaration *declaration)
{
    struct cli_config config;
    if (!fetch_config(options, &config)) {
        return CLI_UNREACHABLE;
    }
    print_diff(config.text, declaration->canonical_text);
    cli_config_clear(&config);
    return CLI_OK;
}

/* Reports that another author changed the configuration first, and prints the
 * changes that the file would still make. */
static int
report_conflict(const struct cli_config *config,
                const struct ch_declaration *declaration)
{
    print_revision(stderr,
                   "chestnuthitch: conflict, nothing applied: ", config);
    (void)fprintf(stderr, "From that revision to your file:\n");
    print_diff(config->text, declaration->canonical_text);
    return CLI_CONFLICT;
}

/* Evaluates one read-back after an apply whose response was lost.  Returns an
 * exit status, or -1 while the base is still in force.  If another author's
 * later revision is in force, it is unknown whether the file was in force
 * before that revision. */
static int
evaluate_read_back(const struct cli_config *config,
                   const struct ch_declaration *declaration, uint64_t base)
{
    if (config->revision <= base) {
        return -1;
    }
    if (strcmp(config->text, declaration->canonical_text) == 0) {
        print_revision(stdout, "in force: ", config);
        return CLI_OK;
    }
    print_revision(stderr,
                   "chestnuthitch: the response was lost; now in force is ",
                   config);
    (void)fprintf(stderr, "The file may have been in force before it.  From "
                          "that revision to your file:\n");
    print_diff(config->text, declaration->canonical_text);
    return CLI_UNREACHABLE;
}

/* Finds the outcome of an apply whose response was lost by reading back the
 * configuration in force.  Returns an exit status. */
static int
resolve_lost_apply(const struct options *options,
                   const struct ch_declaration *declaration, uint64_t base)
{
    for (int i = 0; i < READ_BACK_ATTEMPTS; i++) {
        struct cli_config config;
        if (fetch_config(options, &config)) {
            int status = evaluate_read_back(&config, declaration, base);
            cli_config_clear(&config);
            if (status >= 0) {
                return status;
            }
        }
        g_usleep(READ_BACK_INTERVAL_US);
    }
    print_error(
        "the response was lost and the file is not in force; it may still "
        "come into force: run `config show` before applying again");
    return CLI_UNREACHABLE;
}

/* Maps an error in a node's response to an exit status. */
static int
error_exit_status(const struct ch_error *error)
{
    int http_status = ch_code_get_http_status(error->code);
    if (http_status >= 500) {
        return CLI_UNREACHABLE;
    }
    return http_status == 400 || http_status == 413 ? CLI_BAD_INPUT
                                                    : CLI_FAILED;
}

/* Prints the outcome of an apply and returns its exit status. */
static int
report_apply(const struct options *options,
             const struct ch_declaration *declaration, uint64_t base,
             const struct cli_response *response)
{
    struct cli_config config;
    struct ch_error error;
    if (response->status == 200) {
        cli_config_parse(response->body, NULL, &config);
        print_revision(stdout, "in force: ", &config);
        cli_config_clear(&config);
        return CLI_OK;
    }
    if (response->status == 0) {
        print_error(response->error_message);
        return response->may_have_been_sent
                   ? resolve_lost_apply(options, declaration, base)
                   : CLI_UNREACHABLE;
    }
    cli_error_parse(response->body, &error);
    if (error.code == CH_KV_CONFLICT) {
        cli_config_parse(response->body, "config", &config);
        int status = report_conflict(&config, declaration);
        cli_config_clear(&config);
        return status;
    }
    print_error(error.message);
    if (ch_code_get_outcome(error.code) == CH_UNKNOWN) {
        return resolve_lost_apply(options, declaration, base);
    }
    return error_exit_status(&error);
}

/* config apply FILE: replaces the configuration by compare-and-swap against
 * the revision in force or the revision given with --base. */
static int
run_apply(const struct options *options,
          const struct ch_declaration *declaration)
{
    struct cli_config config;
    if (!fetch_config(options, &config)) {
        return CLI_UNREACHABLE;
    }
    uint64_t base = options->base == BASE_IN_FORCE ? config.revision
                                                   : (uint64_t)options->base;
    bool unchanged = config.revision != 0 &&
                     strcmp(config.text, declaration->canonical_text) == 0;
    if (unchanged) {
        print_revision(stdout, "already in force: ", &config);
    }
    cli_config_clear(&config);
    if (unchanged) {
        return CLI_OK;
    }
    char *path = g_strdup_printf("/admin/v1/config?base=%" PRIu64 "&author=%s",
                                 base, options->author);
    struct cli_response response;
    cli_call_any_node(options->nodes, "POST", path,
                      declaration->canonical_text, &response);
    int status = report_apply(options, declaration, base, &response);
    cli_response_clear(&response);
    g_free(path);
    return status;
}

/* Prints the digest of the access key on standard input, so that the key is on
 * no command line. */
static int
run_digest(const struct options *options,
           const struct ch_declaration *declaration)
{
    (void)options;
    (void)declaration;
    char key[CH_ACCESS_MAX_KEY_BYTES + 2];
    char digest[CH_ACCESS_DIGEST_SIZE];
    if (fgets(key, sizeof(key), stdin) == NULL) {
        print_error("no access key on standard input");
        return CLI_BAD_INPUT;
    }
    g_strchomp(key);
    if (!ch_access_is_key(key)) {
        print_error("not an access key: 1 to 200 printable ASCII characters "
                    "without blanks");
        return CLI_BAD_INPUT;
    }
    ch_access_digest_key(key, digest);
    printf("%s\n", digest);
    return CLI_OK;
}

struct verb {
    const char *name;
    bool needs_file;
    bool needs_node;
    int (*run)(const struct options *options,
               const struct ch_declaration *declaration);
};

static const struct verb verbs[] = {
    {"check", true, false, run_check},    {"show", false, true, run_show},
    {"diff", true, true, run_diff},       {"apply", true, true, run_apply},
    {"digest", false, false, run_digest},
};

/* Returns the verb that the command line names, or NULL if it is unknown or
 * has the wrong number of files. */
static const struct verb *
find_verb(char **arguments)
{
    guint count = arguments == NULL ? 0 : g_strv_length(arguments);
    for (size_t i = 0; count > 0 && i < G_N_ELEMENTS(verbs); i++) {
        if (strcmp(arguments[0], verbs[i].name) == 0 &&
            count == (verbs[i].needs_file ? 2U : 1U)) {
            return &verbs[i];
        }
    }
    return NULL;
}

/* Checks the options that the verb needs, loads its file and runs the verb. */
static int
run_verb(const struct verb *verb, const struct options *options)
{
    if (verb->needs_node && !cli_nodes_check(options->nodes)) {
        return CLI_BAD_INPUT;
    }
    struct ch_declaration *declaration = NULL;
    struct ch_error error = {0};
    if (verb->needs_file) {
        declaration = ch_declaration_load(options->arguments[1], &error);
        if (declaration == NULL) {
            print_error(error.message);
            return CLI_BAD_INPUT;
        }
    }
    int status = verb->run(options, declaration);
    ch_declaration_free(declaration);
    return status;
}

/* Parses the command line; on an error, prints it and returns false. */
static bool
parse_options(int argc, char **argv, struct options *options)
{
    const GOptionEntry entries[] = {
        {"node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &options->nodes,
         "Admin listener of a node; if repeated, nodes are tried in turn",
         "IP:PORT"},
        {"author", 'a', 0, G_OPTION_ARG_STRING, &options->author,
         "Author of the change (default: the user's name)", "NAME"},
        {"base", 'b', 0, G_OPTION_ARG_INT64, &options->base,
         "Revision that the file is based on (default: the one in force)",
         "REVISION"},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY,
         &options->arguments, NULL, NULL},
        {0},
    };
    GOptionContext *context =
        g_option_context_new("check FILE | show | diff FILE | apply FILE");
    g_option_context_set_summary(
        context, "Checks, shows, compares or applies the declaration of "
                 "classes and models.");
    g_option_context_set_description(
        context, "Exit status: 0 done, 1 no configuration in force to show or "
                 "change refused,\n2 invalid input, 3 conflict, 4 no node "
                 "or store reachable, or outcome not known.\n");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *parse_error = NULL;
    bool valid = g_option_context_parse(context, &argc, &argv, &parse_error);
    if (!valid) {
        print_error(parse_error->message);
        g_error_free(parse_error);
    }
    else if (options->base < BASE_IN_FORCE) {
        print_error(
            "--base: not a revision (use 0 if no configuration is in force)");
        valid = false;
    }
    g_option_context_free(context);
    return valid;
}

int
cli_config(int argc, char **argv)
{
    struct options options = {.base = BASE_IN_FORCE};
    int status = CLI_BAD_INPUT;
    if (parse_options(argc, argv, &options)) {
        if (options.author == NULL) {
            options.author = g_strdup(g_get_user_name());
        }
        const struct verb *verb = find_verb(options.arguments);
        if (verb == NULL) {
            print_error("config takes: check FILE | show | diff FILE | apply "
                        "FILE (see --help)");
        }
        else {
            status = run_verb(verb, &options);
        }
    }
    g_strfreev(options.nodes);
    g_strfreev(options.arguments);
    g_free(options.author);
    return status;
}
