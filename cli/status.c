/* chestnuthitch status: prints a node's status as tables or as JSON. */

#include "admin_client.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

/* A table of text cells; the first row is the heading. */
struct table {
    GPtrArray *rows; /* each a NULL-terminated char ** */
};

/* Returns a new text for one cell: "-" for null or an empty value, list
 * elements joined by commas, objects as JSON. */
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
        char *element_text = cell_text(json_array_get_element(array, i));
        g_string_append_printf(out, "%s%s", i == 0 ? "" : ",", element_text);
        g_free(element_text);
    }
    if (out->len == 0) {
        g_string_append_c(out, '-');
    }
    return g_string_free(out, FALSE);
}

/* Adds a row: the first cell (NULL: none), then the members that the columns
 * name. */
static void
add_row(struct table *table, const char *first_cell, JsonObject *object,
        char **columns)
{
    GPtrArray *row = g_ptr_array_new();
    if (first_cell != NULL) {
        g_ptr_array_add(row, g_strdup(first_cell));
    }
    for (size_t i = 0; columns[i] != NULL; i++) {
        g_ptr_array_add(row,
                        cell_text(json_object_get_member(object, columns[i])));
    }
    g_ptr_array_add(row, NULL);
    g_ptr_array_add(table->rows, g_ptr_array_free(row, FALSE));
}

static void
add_heading(struct table *table, const char *first_cell, char **columns)
{
    GPtrArray *row = g_ptr_array_new();
    if (first_cell != NULL) {
        g_ptr_array_add(row, g_ascii_strup(first_cell, -1));
    }
    for (size_t i = 0; columns[i] != NULL; i++) {
        g_ptr_array_add(row, g_ascii_strup(columns[i], -1));
    }
    g_ptr_array_add(row, NULL);
    g_ptr_array_add(table->rows, g_ptr_array_free(row, FALSE));
}

/* Returns the width of a column's widest cell in bytes. */
static int
column_width(const struct table *table, guint column)
{
    size_t width = 0;
    for (guint i = 0; i < table->rows->len; i++) {
        char **row = g_ptr_array_index(table->rows, i);
        width = MAX(width, strlen(row[column]));
    }
    return (int)width;
}

/* Prints the table in aligned columns and frees its rows. */
static void
print_table(struct table *table)
{
    char **heading = g_ptr_array_index(table->rows, 0);
    guint columns = g_strv_length(heading);
    int *widths = g_new(int, columns);
    for (guint j = 0; j < columns; j++) {
        widths[j] = column_width(table, j);
    }
    for (guint i = 0; i < table->rows->len; i++) {
        char **row = g_ptr_array_index(table->rows, i);
        for (guint j = 0; j + 1 < columns; j++) {
            (void)printf("%-*s  ", widths[j], row[j]);
        }
        (void)printf("%s\n", row[columns - 1]);
    }
    g_free(widths);
    g_ptr_array_free(table->rows, TRUE);
}

static struct table
new_table(void)
{
    return (struct table){
        g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev)};
}

/* Returns the names of an object's members; free them with g_strfreev(). */
static char **
member_names(JsonObject *object)
{
    GList *members = json_object_get_members(object);
    GPtrArray *names = g_ptr_array_new();
    for (GList *link = members; link != NULL; link = link->next) {
        g_ptr_array_add(names, g_strdup(link->data));
    }
    g_list_free(members);
    g_ptr_array_add(names, NULL);
    return (char **)g_ptr_array_free(names, FALSE);
}

/* Prints a list of objects as a table with one row for each, and any other
 * list on one line. */
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
    struct table table = new_table();
    char **columns = member_names(json_array_get_object_element(array, 0));
    add_heading(&table, NULL, columns);
    for (guint i = 0; i < json_array_get_length(array); i++) {
        JsonNode *node = json_array_get_element(array, i);
        if (JSON_NODE_HOLDS_OBJECT(node)) {
            add_row(&table, NULL, json_node_get_object(node), columns);
        }
    }
    g_strfreev(columns);
    print_table(&table);
}

/* Prints an object: its members that are objects as rows of a table, with the
 * member's name in the first column, and each other member on its own line. */
static void
print_object(const char *name, JsonObject *object)
{
    char **names = member_names(object);
    struct table table = new_table();
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
            add_heading(&table, "name", columns);
        }
        add_row(&table, names[i], json_node_get_object(node), columns);
    }
    if (columns != NULL) {
        print_table(&table);
    }
    else {
        g_ptr_array_free(table.rows, TRUE);
    }
    g_strfreev(columns);
    g_strfreev(names);
}

/* Prints the status: single values first, then a section for each list or
 * object, in the order of the node's response. */
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

/* Prints a node's response; returns false if it is not a JSON object. */
static bool
print_response(const char *body, bool as_json)
{
    JsonParser *parser = json_parser_new();
    bool valid = json_parser_load_from_data(parser, body, -1, NULL) &&
                 json_parser_get_root(parser) != NULL &&
                 JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser));
    if (valid && as_json) {
        char *text = json_to_string(json_parser_get_root(parser), TRUE);
        (void)printf("%s\n", text);
        g_free(text);
    }
    else if (valid) {
        print_status(json_node_get_object(json_parser_get_root(parser)));
    }
    g_object_unref(parser);
    return valid;
}

/* Queries the nodes in turn and prints the first response. */
static int
run_status(char **nodes, bool as_json)
{
    if (!cli_nodes_check(nodes)) {
        return CLI_BAD_INPUT;
    }
    struct cli_response response;
    cli_call_any_node(nodes, "GET", "/admin/v1/status", NULL, &response);
    int status = CLI_OK;
    if (response.status == 0) {
        (void)fprintf(stderr, "chestnuthitch: %s\n", response.error_message);
        status = CLI_UNREACHABLE;
    }
    else if (response.status != 200 ||
             !print_response(response.body, as_json)) {
        (void)fprintf(stderr,
                      "chestnuthitch: not a status response: HTTP %d %.200s\n",
                      response.status, response.body);
        status = CLI_FAILED;
    }
    cli_response_clear(&response);
    return status;
}

int
cli_status(int argc, char **argv)
{
    char **nodes = NULL;
    gboolean as_json = FALSE;
    const GOptionEntry entries[] = {
        {"node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &nodes,
         "Admin listener of a node; if repeated, nodes are tried in turn",
         "IP:PORT"},
        {"json", 'j', 0, G_OPTION_ARG_NONE, &as_json, "Write JSON", NULL},
        {0},
    };
    GOptionContext *context = g_option_context_new(NULL);
    g_option_context_set_summary(
        context, "Shows nodes, upstreams, resident and "
                 "reserved models, home nodes, the\nrevision in "
                 "force and outcomes by class.");
    g_option_context_set_description(
        context,
        "Exit status: 0 success, 1 the node gave no status, 2 invalid "
        "command line,\n4 no node could be reached.\n");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *parse_error = NULL;
    int status = CLI_BAD_INPUT;
    if (!g_option_context_parse(context, &argc, &argv, &parse_error)) {
        (void)fprintf(stderr, "chestnuthitch: %s\n", parse_error->message);
        g_error_free(parse_error);
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
