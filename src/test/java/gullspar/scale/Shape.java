package gullspar.scale;

/**
 * The sizes of a test fleet.
 *
 * @param proxies number of hollow proxies
 * @param processes number of processes that hold the hollow proxies
 * @param real number of real proxies
 * @param heapMb heap limit of each hollow process
 */
record Shape(int proxies, int processes, int real, int backends, int tenants, int heapMb) {
    Shape backends(int count) {
        return new Shape(proxies, processes, real, count, tenants, heapMb);
    }

    Shape tenants(int count) {
        return new Shape(proxies, processes, real, backends, count, heapMb);
    }

    Shape proxies(int count, int inProcesses) {
        return new Shape(count, inProcesses, real, backends, tenants, heapMb);
    }

    Shape real(int count) {
        return new Shape(proxies, processes, count, backends, tenants, heapMb);
    }

    Shape heapMb(int most) {
        return new Shape(proxies, processes, real, backends, tenants, most);
    }
}
