package gullspar.importer;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** The verdicts on directives that do not depend on their context; docs/import-nginx.md lists all directives. */
final class DirectiveTables {
    /** The reason for each directive without effect. */
    static final Map<String, String> NO_EFFECT = new HashMap<>();
    /** The reason for each directive that is not translatable, with an alternative if there is one. */
    static final Map<String, String> NOT_TRANSLATABLE = new HashMap<>();
    /** Directives that are translated as part of the routes to which they apply. */
    static final Set<String> ROUTE_DIRECTIVES = Set.of(
            "proxy_connect_timeout",
            "proxy_read_timeout",
            "proxy_send_timeout",
            "proxy_set_header",
            "proxy_hide_header",
            "add_header",
            "client_max_body_size",
            "proxy_next_upstream",
            "proxy_next_upstream_tries",
            "proxy_next_upstream_timeout",
            "default_type",
            "set",
            "proxy_pass_request_headers",
            "proxy_pass_request_body");

    private static void noEffect(String reason, String... names) {
        for (String n : names) {
            NO_EFFECT.put(n, reason);
        }
    }

    private static void notTranslatable(String reason, String... names) {
        for (String n : names) {
            NOT_TRANSLATABLE.put(n, reason);
        }
    }

    static {
        noEffect(
                "left to the service manager that runs the process",
                "user",
                "worker_processes",
                "worker_cpu_affinity",
                "worker_priority",
                "worker_rlimit_nofile",
                "worker_rlimit_core",
                "worker_shutdown_timeout",
                "pid",
                "daemon",
                "master_process",
                "env",
                "lock_file",
                "working_directory",
                "timer_resolution",
                "pcre_jit",
                "thread_pool",
                "debug_points",
                "load_module");
        noEffect(
                "one event loop, and limits.sockets for all connections",
                "events",
                "worker_connections",
                "use",
                "multi_accept",
                "accept_mutex",
                "accept_mutex_delay",
                "debug_connection",
                "worker_aio_requests");
        noEffect(
                "the log is on standard error; there is no access log",
                "error_log",
                "access_log",
                "log_format",
                "log_not_found",
                "log_subrequest",
                "open_log_file_cache",
                "rewrite_log",
                "uninitialized_variable_warn");
        noEffect(
                "no files are served",
                "sendfile",
                "sendfile_max_chunk",
                "tcp_nopush",
                "aio",
                "aio_write",
                "directio",
                "directio_alignment",
                "output_buffers",
                "open_file_cache",
                "open_file_cache_valid",
                "open_file_cache_min_uses",
                "open_file_cache_errors",
                "types",
                "disable_symlinks",
                "read_ahead",
                "etag",
                "if_modified_since",
                "max_ranges",
                "charset",
                "charset_types",
                "source_charset",
                "override_charset");
        noEffect(
                "the behavior is fixed here",
                "tcp_nodelay",
                "reset_timedout_connection",
                "proxy_http_version",
                "chunked_transfer_encoding",
                "ignore_invalid_headers",
                "proxy_socket_keepalive",
                "lingering_close",
                "lingering_time",
                "lingering_timeout",
                "postpone_output",
                "absolute_redirect",
                "port_in_redirect",
                "server_name_in_redirect",
                "recursive_error_pages");
        noEffect(
                "client connections are closed only after their idle timeout",
                "keepalive_requests",
                "keepalive_time",
                "keepalive_disable");
        noEffect(
                "memory is limited in other ways: limits.bodies_mb for request bodies, streaming for responses",
                "client_body_buffer_size",
                "client_body_in_single_buffer",
                "client_body_temp_path",
                "client_body_in_file_only",
                "client_header_buffer_size",
                "large_client_header_buffers",
                "connection_pool_size",
                "request_pool_size",
                "proxy_buffer_size",
                "proxy_buffers",
                "proxy_busy_buffers_size",
                "proxy_max_temp_file_size",
                "proxy_temp_file_write_size",
                "proxy_temp_path",
                "proxy_buffering",
                "proxy_request_buffering",
                "proxy_limit_rate",
                "proxy_headers_hash_max_size",
                "proxy_headers_hash_bucket_size",
                "subrequest_output_buffer_size");
        noEffect(
                "tables are sized automatically",
                "server_names_hash_max_size",
                "server_names_hash_bucket_size",
                "types_hash_max_size",
                "types_hash_bucket_size",
                "variables_hash_max_size",
                "variables_hash_bucket_size",
                "map_hash_max_size",
                "map_hash_bucket_size");
        noEffect(
                "responses are forwarded unchanged: enable compression in the servers",
                "gzip",
                "gzip_types",
                "gzip_vary",
                "gzip_proxied",
                "gzip_comp_level",
                "gzip_min_length",
                "gzip_buffers",
                "gzip_http_version",
                "gzip_disable",
                "gzip_static",
                "gunzip",
                "gunzip_buffers");
        noEffect("the proxy does not identify itself in responses", "server_tokens");
        noEffect("host names are not resolved", "resolver", "resolver_timeout");
        noEffect(
                "nothing is cached, so this does nothing",
                "proxy_cache_bypass",
                "proxy_cache_key",
                "proxy_cache_lock",
                "proxy_cache_lock_age",
                "proxy_cache_lock_timeout",
                "proxy_cache_methods",
                "proxy_cache_min_uses",
                "proxy_cache_path",
                "proxy_cache_purge",
                "proxy_cache_revalidate",
                "proxy_cache_use_stale",
                "proxy_cache_valid",
                "proxy_cache_background_update",
                "proxy_cache_convert_head",
                "proxy_cache_max_range_offset",
                "proxy_no_cache");
        noEffect("response headers do not control the proxy", "proxy_ignore_headers", "proxy_pass_header");
        noEffect("a client that disconnects always aborts its attempt", "proxy_ignore_client_abort");
        notTranslatable(
                "TLS to clients is not supported: put a TLS terminator in front",
                "ssl_certificate",
                "ssl_certificate_key",
                "ssl",
                "ssl_protocols",
                "ssl_ciphers",
                "ssl_session_cache",
                "ssl_session_timeout",
                "ssl_session_tickets",
                "ssl_session_ticket_key",
                "ssl_dhparam",
                "ssl_prefer_server_ciphers",
                "ssl_stapling",
                "ssl_stapling_verify",
                "ssl_client_certificate",
                "ssl_verify_client",
                "ssl_verify_depth",
                "ssl_trusted_certificate",
                "ssl_ecdh_curve",
                "ssl_buffer_size",
                "ssl_crl",
                "ssl_early_data",
                "ssl_password_file",
                "ssl_reject_handshake",
                "ssl_conf_command",
                "http2",
                "http3",
                "quic_retry",
                "ssl_preread");
        notTranslatable(
                "only plain HTTP is spoken to servers",
                "proxy_ssl_certificate",
                "proxy_ssl_certificate_key",
                "proxy_ssl_ciphers",
                "proxy_ssl_name",
                "proxy_ssl_protocols",
                "proxy_ssl_server_name",
                "proxy_ssl_session_reuse",
                "proxy_ssl_trusted_certificate",
                "proxy_ssl_verify",
                "proxy_ssl_verify_depth");
        notTranslatable(
                "session affinity is not supported; keep sessions in a store that all servers share",
                "ip_hash",
                "hash",
                "sticky",
                "sticky_cookie_insert");
        notTranslatable("conditions are written as routes with header or when", "if");
        notTranslatable(
                "files are not served; forward these requests to a file server",
                "try_files",
                "root",
                "alias",
                "index",
                "autoindex",
                "autoindex_exact_size",
                "autoindex_format",
                "autoindex_localtime",
                "random_index",
                "expires",
                "internal",
                "dav_methods",
                "mp4",
                "flv",
                "secure_link",
                "secure_link_md5",
                "image_filter",
                "xslt_stylesheet",
                "ssi");
        notTranslatable(
                "error pages are left to servers; a route can have a fixed answer",
                "error_page",
                "proxy_intercept_errors");
        notTranslatable(
                "access control is not supported: put it in front, or in the servers",
                "auth_request",
                "auth_request_set",
                "auth_basic",
                "auth_basic_user_file",
                "auth_jwt",
                "allow",
                "deny",
                "satisfy",
                "limit_except",
                "valid_referers",
                "geo",
                "geoip_country",
                "geoip2");
        notTranslatable(
                "there is no limit per client; the decision module refuses requests beyond the capacity of the servers",
                "limit_req",
                "limit_req_zone",
                "limit_req_status",
                "limit_req_log_level",
                "limit_conn",
                "limit_conn_zone",
                "limit_conn_status",
                "limit_rate",
                "limit_rate_after");
        notTranslatable(
                "the address of a client is that of its connection; see forwarded",
                "set_real_ip_from",
                "real_ip_header",
                "real_ip_recursive");
        notTranslatable(
                "answers are passed on as they are",
                "sub_filter",
                "sub_filter_once",
                "sub_filter_types",
                "sub_filter_last_modified",
                "add_before_body",
                "add_after_body",
                "proxy_cookie_domain",
                "proxy_cookie_path",
                "proxy_cookie_flags",
                "add_trailer",
                "userid",
                "slice",
                "mirror",
                "mirror_request_body",
                "proxy_store",
                "proxy_store_access");
        notTranslatable("nothing is cached here: put a cache behind it", "proxy_cache");
        notTranslatable("method and body of a request are always forwarded", "proxy_method", "proxy_set_body");
        notTranslatable("the operating system selects the local address of connections to servers", "proxy_bind");
        notTranslatable("not HTTP", "stream", "mail");
        notTranslatable(
                "only HTTP/1.1 is spoken to servers",
                "grpc_pass",
                "fastcgi_pass",
                "uwsgi_pass",
                "scgi_pass",
                "memcached_pass",
                "fastcgi_param",
                "fastcgi_index",
                "fastcgi_split_path_info",
                "fastcgi_read_timeout",
                "uwsgi_param",
                "grpc_set_header",
                "uwsgi_read_timeout",
                "fastcgi_buffers",
                "fastcgi_buffer_size",
                "fastcgi_cache");
        notTranslatable(
                "scripts are not run",
                "js_import",
                "js_content",
                "js_set",
                "perl",
                "perl_set",
                "perl_modules",
                "lua_package_path",
                "lua_shared_dict",
                "access_by_lua",
                "content_by_lua",
                "rewrite_by_lua",
                "access_by_lua_file",
                "content_by_lua_file",
                "rewrite_by_lua_file",
                "init_by_lua_file");
        notTranslatable("use a separate route with a fixed answer", "stub_status", "empty_gif", "status", "api");
        notTranslatable("it looks for a location anew", "break");
        notTranslatable("slashes in a path are always merged", "merge_slashes");
    }

    private DirectiveTables() {}

    /** Returns whether a directive runs a Lua script. */
    static boolean isScript(String name) {
        return name.contains("_by_lua");
    }
}
