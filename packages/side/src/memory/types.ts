/** Orders, engine reports and ledger entries. */

/** What an order does. */
export enum OrderType {
  LoadModel = 'load-model',
  UnloadModel = 'unload-model',
  LoadAdapter = 'load-adapter',
  UnloadAdapter = 'unload-adapter',
}

/** State of a model or adapter in an engine report. */
export enum ContentState {
  Loading = 'loading',
  Loaded = 'loaded',
  Unloading = 'unloading',
}

/** A model version, or an adapter of a model. */
export interface Content {
  model: string;
  /** Version of the model, or of the adapter when there is one. */
  version: string;
  adapter?: string;
}

/** An order to the engine; safe to resend under the same `orderId`. */
export interface Order extends Content {
  orderId: string;
  type: OrderType;
  memoryMiB: number;
}

/** Status report of an engine. */
export interface EngineStatus {
  totalMemoryMiB: number;
  usedMemoryMiB: number;
  models: ReadonlyArray<{
    name: string;
    version: string;
    state: ContentState;
    memoryMiB: number;
  }>;
  adapters: ReadonlyArray<{
    name: string;
    model: string;
    state: ContentState;
    memoryMiB: number;
  }>;
  /** Engine clock when the report was taken. */
  reportedAtMs: number;
  /** Changes when the engine restarts. */
  generation: string | number;
  role?: string;
  /** Latest completed orders, if the engine lists them. */
  completedOrders?: ReadonlyArray<{orderId: string}>;
}

/** Content whose memory counts as allocated. */
export interface LedgerEntry extends Content {
  /** Largest size that was ordered or reported. */
  memoryMiB: number;
  /** Last reported state; undefined until a report shows the content. */
  state: ContentState | undefined;
  /** Time at which it was first reported as loaded. */
  loadedMs: number | undefined;
}

/** An order whose result is not known yet from a report. */
export interface PendingOrder {
  order: Order;
  lastSentMs: number | undefined;
  /** Number of copies sent that may arrive at the engine. */
  sentCopies: number;
  /** Engine clock of the latest report when the engine accepted the order. */
  acceptedEngineMs: number | undefined;
}

/** What a report changed. */
export interface ReportOutcome {
  hasRestarted: boolean;
  /** Orders whose result is now known. */
  resolved: readonly Order[];
  /** Loads among them that failed or had no effect. */
  failedLoads: readonly Order[];
}

/** Formats content as a map key. */
export function formatContent(content: Content): string {
  // Reports do not contain the version of an adapter.
  return content.adapter === undefined
    ? `model ${content.model} ${content.version}`
    : `adapter ${content.model} ${content.adapter}`;
}

/** Whether an order allocates memory. */
export function isLoad(type: OrderType): boolean {
  return type === OrderType.LoadModel || type === OrderType.LoadAdapter;
}
