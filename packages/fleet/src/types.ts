/** Gateway registrations and the order lease as they are stored. */

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

/** Which gateway sends orders to upstreams. */
export interface OrderLease {
  holder: string;
  incarnation: string;
  /** Fencing token; rises with each holder. */
  token: number;
  /** Whether the holder has released it and sends no more orders. */
  isReleased: boolean;
}
