export interface ListedEvent {
  id: number;
  level: string;
  name: string;
  text: string;
}

export function listEvents(): ListedEvent[];
export function renderPages(): Array<[path: string, text: string]>;
