/** Gateways and the lease of orders as they are stored. */

/** Where a gateway accepts links. */
export interface LinkAddress {
  host: string;
  port: number;
}

/** Registration of one gateway. */
export interface GatewayRecord {
  name: string;
  /** Random for each start of the process. */
  incarnation: string;
  address: LinkAddress;
  failureDomain: string;
  region: string;
}

/** Which gateway gives orders to upstreams. */
export interface OrderLease {
  holder: string;
  incarnation: string;
  /** Fencing token; rises with each holder. */
  token: number;
  /** Whether the holder has given it up and sends no more orders. */
  isReleased: boolean;
}
