/** Finds the route and the customer of a request in a route table. */
import type {
  Route,
  RouteCustomer,
  RoutedService,
  RouteTable,
} from '../../protocol/route_table.ts';

/** A route table, indexed by host, key and service name. */
export class RouteIndex {
  private readonly byHost = new Map<string, Route[]>();
  private readonly customers = new Map<string, RouteCustomer>();
  private readonly services = new Map<string, RoutedService>();

  constructor(readonly table: RouteTable) {
    for (const route of table.routes) {
      const host = route.host.toLowerCase();
      const known = this.byHost.get(host);
      if (known) known.push(route);
      else this.byHost.set(host, [route]);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const customer of table.customers ?? []) {
      for (const key of customer.keys) this.customers.set(key, customer);
    }
    for (const service of table.services) {
      this.services.set(service.name, service);
    }
  }

  /** Whether requests need the key of a customer. */
  get hasCustomers(): boolean {
    return this.table.customers !== null;
  }

  /**
   * Finds the route with the longest matching prefix.
   *
   * @param host The host as the caller named it, with or without a port.
   * @param path The path, with or without a query.
   */
  findRoute(host: string, path: string): Route | null {
    const name = host.replace(/:\d+$/, '').toLowerCase();
    const routes = this.byHost.get(name) ?? [];
    return routes.find(({pathPrefix}) => path.startsWith(pathPrefix)) ?? null;
  }

  /** Finds the customer that owns a key. */
  findCustomer(key: string): RouteCustomer | null {
    return this.customers.get(key) ?? null;
  }

  findService(name: string): RoutedService | null {
    return this.services.get(name) ?? null;
  }
}
