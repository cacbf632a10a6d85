"""What clients and operators connect to: chat, embeddings, administration, the admin socket."""
