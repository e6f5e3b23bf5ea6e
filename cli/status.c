/* chestnuthitch status: what a node knows, as tables or as JSON. */

#include "admin_client.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

/* A table as it is gathered: rows of cells, the first row the heading. */
struct grid {
    GPtrArray *rows; /* of char **, NULL-terminated */
};

/* A value in one cell: lists joined by commas, inner objects as JSON. */
static char *
cell_text(JsonNode *node)
{
    if (node == NULL || JSON_NODE_HOLDS_NULL(node)) {
        return g_strdup("-");
    }
    if (JSON_NODE_HOLDS_VALUE(node) &&
        json_node_get_value_type(node) == G_TYPE_STRING) {
        const char *text = json_node_get_string(node);
        return g_strdup(text[0] == '\0' ? "-" : text);
    }
    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        return json_to_string(node, FALSE);
    }
    GString *out = g_string_new(NULL);
    JsonArray *array = json_node_get_array(node);
    for (guint i = 0; i < json_array_get_length(array); i++) {
        char *part = cell_text(json_array_get_element(array, i));
        g_string_append_printf(out, "%s%s", i == 0 ? "" : ",", part);
        g_free(part);
    }
    if (out->len == 0) {
        g_string_append_c(out, '-');
    }
    return g_string_free(out, FALSE);
}

/* Adds a row: a first cell (NULL: none), then the members named. */
static void
add_row(struct grid *grid, const char *first, JsonObject *object,
        char **columns)
{
    GPtrArray *row = g_ptr_array_new();
    if (first != NULL) {
        g_ptr_array_add(row, g_strdup(first));
    }
    for (size_t i = 0; columns[i] != NULL; i++) {
        g_ptr_array_add(row,
                        cell_text(json_object_get_member(object, columns[i])));
    }
    g_ptr_array_add(row, NULL);
    g_ptr_array_add(grid->rows, g_ptr_array_free(row, FALSE));
}

/* Adds the heading. */
static void
add_heading(struct grid *grid, const char *first, char **columns)
{
    GPtrArray *row = g_ptr_array_new();
    if (first != NULL) {
        g_ptr_array_add(row, g_ascii_strup(first, -1));
    }
    for (size_t i = 0; columns[i] != NULL; i++) {
        g_ptr_array_add(row, g_ascii_strup(columns[i], -1));
    }
    g_ptr_array_add(row, NULL);
    g_ptr_array_add(grid->rows, g_ptr_array_free(row, FALSE));
}

/* The widest cell of a column. */
static int
column_width(const struct grid *grid, guint column)
{
    size_t width = 0;
    for (guint i = 0; i < grid->rows->len; i++) {
        char **row = g_ptr_array_index(grid->rows, i);
        width = MAX(width, strlen(row[column]));
    }
    return (int)width;
}

/* Writes the grid in aligned columns and frees its rows. */
static void
print_grid(struct grid *grid)
{
    char **heading = g_ptr_array_index(grid->rows, 0);
    guint columns = g_strv_length(heading);
    int *widths = g_new(int, columns);
    for (guint j = 0; j < columns; j++) {
        widths[j] = column_width(grid, j);
    }
    for (guint i = 0; i < grid->rows->len; i++) {
        char **row = g_ptr_array_index(grid->rows, i);
        for (guint j = 0; j + 1 < columns; j++) {
            (void)printf("%-*s  ", widths[j], row[j]);
        }
        (void)printf("%s\n", row[columns - 1]);
    }
    g_free(widths);
    g_ptr_array_free(grid->rows, TRUE);
}

/* An empty grid. */
static struct grid
new_grid(void)
{
    return (struct grid){
        g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev)};
}

/* The names of an object's members; g_strfreev. */
static char **
member_names(JsonObject *object)
{
    GList *members = json_object_get_members(object);
    GPtrArray *names = g_ptr_array_new();
    for (GList *at = members; at != NULL; at = at->next) {
        g_ptr_array_add(names, g_strdup(at->data));
    }
    g_list_free(members);
    g_ptr_array_add(names, NULL);
    return (char **)g_ptr_array_free(names, FALSE);
}

/* Writes a list of objects as a table, a row for each. */
static void
print_list(const char *name, JsonArray *array)
{
    (void)printf("\n%s\n", name);
    if (json_array_get_length(array) == 0 ||
        !JSON_NODE_HOLDS_OBJECT(json_array_get_element(array, 0))) {
        JsonNode *node = json_node_init_array(json_node_alloc(), array);
        char *text = cell_text(node);
        (void)printf("%s\n", text);
        g_free(text);
        json_node_unref(node);
        return;
    }
    struct grid grid = new_grid();
    char **columns = member_names(json_array_get_object_element(array, 0));
    add_heading(&grid, NULL, columns);
    for (guint i = 0; i < json_array_get_length(array); i++) {
        JsonNode *node = json_array_get_element(array, i);
        if (JSON_NODE_HOLDS_OBJECT(node)) {
            add_row(&grid, NULL, json_node_get_object(node), columns);
        }
    }
    g_strfreev(columns);
    print_grid(&grid);
}

/* Writes an object: of objects as a table with its names in front, of values
 * a line each. */
static void
print_object(const char *name, JsonObject *object)
{
    char **names = member_names(object);
    struct grid grid = new_grid();
    char **columns = NULL;
    (void)printf("\n%s\n", name);
    for (size_t i = 0; names[i] != NULL; i++) {
        JsonNode *node = json_object_get_member(object, names[i]);
        if (!JSON_NODE_HOLDS_OBJECT(node)) {
            char *text = cell_text(node);
            (void)printf("%-24s  %s\n", names[i], text);
            g_free(text);
            continue;
        }
        if (columns == NULL) {
            columns = member_names(json_node_get_object(node));
            add_heading(&grid, "name", columns);
        }
        add_row(&grid, names[i], json_node_get_object(node), columns);
    }
    if (columns != NULL) {
        print_grid(&grid);
    }
    else {
        g_ptr_array_free(grid.rows, TRUE);
    }
    g_strfreev(columns);
    g_strfreev(names);
}

/* Writes the status: single values first, then a part for each list or object,
 * in the order in which the node gives them. */
static void
print_status(JsonObject *status)
{
    char **names = member_names(status);
    for (size_t i = 0; names[i] != NULL; i++) {
        JsonNode *node = json_object_get_member(status, names[i]);
        if (JSON_NODE_HOLDS_VALUE(node)) {
            char *text = cell_text(node);
            (void)printf("%-12s  %s\n", names[i], text);
            g_free(text);
        }
    }
    for (size_t i = 0; names[i] != NULL; i++) {
        JsonNode *node = json_object_get_member(status, names[i]);
        if (JSON_NODE_HOLDS_ARRAY(node)) {
            print_list(names[i], json_node_get_array(node));
        }
        else if (JSON_NODE_HOLDS_OBJECT(node)) {
            print_object(names[i], json_node_get_object(node));
        }
    }
    g_strfreev(names);
}

/* Writes a node's answer; false when it is no JSON object. */
static bool
print_answer(const char *body, bool as_json)
{
    JsonParser *parser = json_parser_new();
    bool fine = json_parser_load_from_data(parser, body, -1, NULL) &&
                json_parser_get_root(parser) != NULL &&
                JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser));
    if (fine && as_json) {
        char *text = json_to_string(json_parser_get_root(parser), TRUE);
        (void)printf("%s\n", text);
        g_free(text);
    }
    else if (fine) {
        print_status(json_node_get_object(json_parser_get_root(parser)));
    }
    g_object_unref(parser);
    return fine;
}

/* Asks the nodes in turn and writes the first answer. */
static int
run_status(char **nodes, bool as_json)
{
    if (!cli_nodes_check(nodes)) {
        return CLI_BAD_INPUT;
    }
    struct cli_answer answer;
    cli_call_any(nodes, "GET", "/admin/v1/status", NULL, &answer);
    int status = CLI_OK;
    if (answer.status == 0) {
        (void)fprintf(stderr, "chestnuthitch: %s\n", answer.message);
        status = CLI_AWAY;
    }
    else if (answer.status != 200 || !print_answer(answer.body, as_json)) {
        (void)fprintf(stderr, "chestnuthitch: not a status: %d %.200s\n",
                      answer.status, answer.body);
        status = CLI_FAILED;
    }
    cli_answer_clear(&answer);
    return status;
}

/* The subcommand; argv[0] is its name. */
int
cli_status(int argc, char **argv)
{
    char **nodes = NULL;
    gboolean as_json = FALSE;
    const GOptionEntry entries[] = {
        {"node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &nodes,
         "Admin listener of a node; several are tried in turn", "IP:PORT"},
        {"json", 'j', 0, G_OPTION_ARG_NONE, &as_json, "Write JSON", NULL},
        {0},
    };
    GOptionContext *context = g_option_context_new(NULL);
    g_option_context_set_summary(context,
                                 "Shows nodes, upstreams, what is resident "
                                 "and reserved, homes, the revision\nin force "
                                 "and outcomes by class.");
    g_option_context_set_description(
        context, "Exit status: 0 shown, 1 the node gave no status, 2 wrong "
                 "command line, 4 not reachable.\n");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *reason = NULL;
    int status = CLI_BAD_INPUT;
    if (!g_option_context_parse(context, &argc, &argv, &reason)) {
        (void)fprintf(stderr, "chestnuthitch: %s\n", reason->message);
        g_error_free(reason);
    }
    else if (argc > 1) {
        (void)fprintf(stderr, "chestnuthitch: status takes no '%s'\n",
                      argv[1]);
    }
    else {
        status = run_status(nodes, as_json);
    }
    g_option_context_free(context);
    g_strfreev(nodes);
    return status;
}
