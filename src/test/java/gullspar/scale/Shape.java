package gullspar.scale;

/**
 * How large a trial is.
 *
 * @param proxies hollow ones
 * @param processes in so many processes
 * @param real real ones beside them
 * @param heapMb the most heap of each process of hollow ones
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
